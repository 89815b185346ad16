"""Fakes of the platform's services: key-value store, host list, workers."""
