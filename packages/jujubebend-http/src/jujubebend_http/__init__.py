"""HTTP/1.1 on h11: a client, a server and the messages they share."""
