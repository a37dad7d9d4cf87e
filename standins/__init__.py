"""Scripted stand-ins for what the gateway speaks to, and checkers of the rules; loopback only."""
