"""HTTP clients of the platform's store, host list and workers."""
