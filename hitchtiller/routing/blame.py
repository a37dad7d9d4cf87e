"""Failure scores of servers, and how long a server is ejected once its score is too high.

Each server has a failure score from 0 to 1. Each failure adds a share of what is missing to 1, and each
answer multiplies the score by SUCCESS_FACTOR. A server whose score reaches EJECTION_SCORE is ejected, for a
time that doubles with each consecutive ejection. It then returns on trial and gets one attempt at a time.
"""

FAILURE_SHARES = {
    "err": 0.25,
    "econnreset": 0.25,
    "econnrefused": 0.4,
    "busy": 0.2,
    "silence": 0.3,  # an overdue attempt at a server that has answered nothing since the send
    "slow": 0.15,  # an overdue attempt at a server that answers others
    "doubt": 0.1,  # an error answer, which the request itself may have caused
}
SUCCESS_FACTOR = 0.8
ASSUMED_FILL_SHARE = 0.3  # of answers that do not state whether they were fills
EJECTION_SCORE = 0.55
MIN_EJECTION_MS, MAX_EJECTION_MS = 1_500.0, 12_000.0


def ejection_ms(ejections: int) -> float:
    """Return how long a server is ejected; `ejections` counts consecutive ones, including this one."""
    return min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2.0 ** (ejections - 1))
