"""Scripted stand-ins for the systems that a gateway talks to, and checkers of the rules; loopback only."""
