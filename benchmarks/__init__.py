"""Benchmarks of the scheduling decisions and of the daemons' capacity."""
