"""Tests; each file mirrors one module."""
