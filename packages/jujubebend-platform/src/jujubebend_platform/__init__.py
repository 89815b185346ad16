"""Clients of the platform: store, host list and workers, over HTTP."""
