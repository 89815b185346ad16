"""HTTP/1.1 client and server built on h11, with shared message types."""
