"""The command line; each command imports what it needs when it is called."""
