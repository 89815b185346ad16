"""Daemon that schedules a cluster whose state is kept in a shared store."""
