"""Operation of a gateway: operators' calls, statistics, hold-outs, membership and upgrades."""
