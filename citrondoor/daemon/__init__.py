"""The daemon: one process on each entry VM."""
