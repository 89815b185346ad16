"""Benchmarks: our policy beside a naive baseline, in one run."""
