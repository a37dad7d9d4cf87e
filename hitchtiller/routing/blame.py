"""What failed attempts say against a server, and how long one that has too much against it is left out.

Blame is a number from 0 to 1 for each server. Each failure takes a share of what is missing to 1, each answer
leaves SUCCESS_FACTOR of it. From EJECT_AT on the server is left out for a time that doubles with each
repetition, and comes back on trial, with one attempt at a time.
"""

FAILURE_SHARES = {
    "err": 0.25,
    "econnreset": 0.25,
    "econnrefused": 0.4,
    "busy": 0.2,
    "silence": 0.3,  # an overdue attempt to a server that has answered nothing since
    "slow": 0.15,  # an overdue attempt to one that answers others
    "doubt": 0.1,  # an error that may be the request's own fault
}
SUCCESS_FACTOR = 0.8
ASSUMED_FILL_SHARE = 0.3  # share of fills among answers that do not tell whether they were one
EJECT_AT = 0.55
EJECT_MS, EJECT_MOST_MS = 1_500.0, 12_000.0  # first and longest time


def ejection_ms(times: int) -> float:
    """Give how long a server is left out for the n-th time in a row, n from 1."""
    return min(EJECT_MOST_MS, EJECT_MS * 2.0 ** (times - 1))
