"""Property tests: generated histories checked against simple models."""
