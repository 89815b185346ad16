"""Scenario scripts and the small language that they are written in."""
