"""Decide what a server's response tells of its request, and whether it is passed on.

Callers take some statuses as a promise that a request has not run and never will, and
repeat it. Only the server's own statement supports that promise: a server that fails
after it began to work may answer with the same status.
"""

import enum

# By these callers know that a request has not run and never will.
PROMISE_STATUSES = frozenset({408, 421, 429, 503})
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500


class Verdict(enum.Enum):
    """Name what a response tells of the request that it answers."""

    NOT_RUN = "states not to have run"
    CONTRADICTORY = "success that states not to have run"
    UNSIGNED = "without the server's signature"
    UNSUPPORTED_PROMISE = "promise without a statement"
    SERVER_ERROR = "server error"
    ANSWER = "answer"


def judge(status: int, *, signed: bool, not_run: bool) -> Verdict:
    """Return what a response with this status tells.

    ``signed`` is whether it carries the server's signature, and ``not_run`` whether it
    states that the request did not run.
    """
    if not_run:
        is_error = status >= FIRST_ERROR_STATUS
        return Verdict.NOT_RUN if is_error else Verdict.CONTRADICTORY
    if not signed:
        return Verdict.UNSIGNED
    if status in PROMISE_STATUSES:
        return Verdict.UNSUPPORTED_PROMISE
    if status >= FIRST_SERVER_ERROR_STATUS:
        return Verdict.SERVER_ERROR
    return Verdict.ANSWER
