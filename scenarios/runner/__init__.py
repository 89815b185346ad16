"""Runs scenario scripts against a cell of real processes."""
