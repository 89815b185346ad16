"""The daemon that schedules a cell whose state lives in a shared store."""
