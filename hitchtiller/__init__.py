"""Decisions of a gateway for caches of large objects behind thin links."""
