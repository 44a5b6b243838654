"""Stand-ins for the review cases: store, searchers, requesters, platform.

They use the standard library only and follow the users' pages. Everything
listens on loopback addresses and on free ports.
"""
