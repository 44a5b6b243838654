"""Wire formats: HTTP and JSON for callers and searchers, Thrift for peers."""
