"""What is decided beside the router, without I/O: limits, budgets, suspicion, recovery."""
