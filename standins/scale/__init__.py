"""Scale measures: hollow gateways on a virtual clock, measured at several fleet sizes, and their tables."""
