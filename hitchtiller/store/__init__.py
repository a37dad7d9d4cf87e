"""The gateway's own copies, in memory and on disk; see docs/second-tier.md."""
