"""Decisions beside the router's own, without I/O: limits, budgets, suspicion of servers, recovery."""
