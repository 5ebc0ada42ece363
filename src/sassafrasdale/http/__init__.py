"""HTTP/1.1 on cooperative sockets, with h11 as the codec."""
