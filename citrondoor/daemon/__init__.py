"""The daemon, a process that runs on each entry VM."""

from citrondoor.daemon._settings import read_settings

__all__ = ["read_settings"]
