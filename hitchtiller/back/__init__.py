"""The server side: connections to station caches, parents and the origin."""
