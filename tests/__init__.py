"""Tests, with one file for each module."""
