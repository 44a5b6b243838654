"""The two daemons that can run on an entry VM.

`Daemon`, started by `citrondoord`, enforces contracts and counts requests.
`EntryDaemon`, started by `python3 -m citrondoor.platform`, routes requests by
the routes in the platform's store.
"""

from citrondoor.daemon._settings import read_settings

__all__ = ["read_settings"]
