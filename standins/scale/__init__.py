"""Scale tests: hollow gateways on a virtual clock, measures at several sizes, and the tables they give."""
