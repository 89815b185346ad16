"""Coordination parts of a cluster scheduler, without I/O or clocks."""
