"""Runner of scenario scripts on a cluster of real processes."""
