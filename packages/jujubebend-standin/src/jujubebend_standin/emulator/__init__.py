"""Emulator of the users' platform, for tests and the fault soak."""
