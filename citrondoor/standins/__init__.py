"""Small stand-ins of the platform, of searchers and of callers.

They speak the same protocols as the systems that they stand for, and never
import decisions of the daemon.
"""
