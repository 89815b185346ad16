"""Property tests: drawn histories against naive versions."""
