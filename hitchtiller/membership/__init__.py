"""Fleet membership: views, failure detection, message encoding; no I/O, time and randomness are passed in."""
