"""Encodings: JSON for callers and searchers, Thrift between daemons."""
