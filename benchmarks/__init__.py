"""Benchmarks; the last line that each prints is a report as JSON."""
