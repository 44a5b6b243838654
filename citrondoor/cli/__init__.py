"""Command-line tool `citrondoorctl` for operators and callers."""
