"""Scenario scripts, their language and their runner."""
