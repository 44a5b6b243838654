"""Stand-ins of the platform, searchers and callers, for tests and benchmarks.

The stand-ins use the same protocols as the systems that they replace and don't
import the daemon's decision code. The package also runs local deployments,
generates load and faults, and simulates rate limiters without sockets.
"""
