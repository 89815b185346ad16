"""Command line of jujubebend, for operators and callers."""
