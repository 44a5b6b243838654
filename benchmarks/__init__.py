"""Benchmarks. Each prints one JSON object as its last line."""
