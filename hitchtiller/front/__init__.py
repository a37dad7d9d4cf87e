"""The client side: the platform's frames on TCP."""
