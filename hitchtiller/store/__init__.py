"""Copies of the gateway's own, in memory and on disk: see docs/second-tier.md."""
