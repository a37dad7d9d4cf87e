"""Limits that follow from the memory and the descriptors that a process may use."""

SERVING_MB = 26.0  # memory of the process in service, without its buffers and copies
EARLY_MB = 18.0  # soon after its start, as for two versions that run side by side
CONNECTIONS_SHARE = 0.55
# Of the memory limit: the resident memory above which connections may hold less, and of what they may hold
# else: the least that is left to them.
RESIDENT_SHARE, MIN_BUFFER_SHARE = 0.98, 0.5
# Copies of the memory tier that the platform's gateway keeps.
TIER_SHARE, MAX_TIER_MB = 0.1, 16.0
# Clients beyond a third of the descriptors, so that a probe is accepted when clients hold all of that third.
EXTRA_CLIENTS = 16
RESERVED_DESCRIPTORS = 48  # for the listener, the bus, the log and similar uses


def memory_tier_mb(memory_mb: float) -> float:
    """Return the size of the platform gateway's memory tier in megabytes for a memory limit."""
    return min(MAX_TIER_MB, TIER_SHARE * memory_mb)


def buffer_bytes(memory_mb: float, two_processes: bool) -> int:
    """Return the bytes that connections may hold: a share of what the process and its copies leave.

    The rest is for tables and for free pages between blocks in use. With `two_processes`, two processes share
    the limit.
    """
    own_mb, minimum_mb = (2.0 * EARLY_MB, 1.0) if two_processes else (SERVING_MB, 2.0)
    left_mb = memory_mb - own_mb - memory_tier_mb(memory_mb)
    return int(max(minimum_mb, CONNECTIONS_SHARE * left_mb / (1 + two_processes)) * 1e6)


def allowed_bytes(base_bytes: int, held_bytes: int, resident_bytes: int, memory_bytes: float) -> int:
    """Return the bytes that connections may hold: `base_bytes`, or less near the memory limit.

    `held_bytes` is what they hold now, as a part of `resident_bytes`.
    """
    spare_bytes = RESIDENT_SHARE * memory_bytes - resident_bytes
    return int(min(base_bytes, max(MIN_BUFFER_SHARE * base_bytes, held_bytes + spare_bytes)))


def connection_limits(limit: int, two_processes: bool, is_younger: bool) -> tuple[int, int]:
    """Return how many clients and how many connections to servers a process may hold.

    With `two_processes`, two processes share the limit, and `is_younger` says which of them this is.
    """
    # Below a limit of 256 both reserves shrink: idle clients may use all of their share, and the connections
    # to servers and to the bus need theirs.
    reserved = min(RESERVED_DESCRIPTORS, limit * 3 // 16)
    clients = limit // 3 + min(EXTRA_CLIENTS, limit // 16)
    if not two_processes:
        return clients, limit - clients - reserved
    # bounds the sum of two processes: silent clients may hold all of the older one's third
    half_clients = clients // 2
    return half_clients if is_younger else clients, max(1, (limit - clients - half_clients - reserved) // 2)
