"""The two daemons that can run on an entry VM.

`Daemon`, started by `citrondoord`, enforces contracts and counts requests.
`EntryDaemon`, started by `python3 -m citrondoor.platform`, routes requests by
the routes in the platform's store.

`main` starts `citrondoord`. This file imports nothing, because it runs before
`main` can block the signals.
"""
