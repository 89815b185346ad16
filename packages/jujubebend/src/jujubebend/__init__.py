"""Core algorithms of a cluster scheduler, without I/O or clocks."""
