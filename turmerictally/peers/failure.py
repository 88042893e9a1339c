"""Carry errors of the closed list across the inner protocol."""

from turmerictally import errors
from turmerictally.peers import envelope_pb2


def to_message(error: errors.Error) -> envelope_pb2.Failure:
    """Return an error as a message."""
    return envelope_pb2.Failure(
        kind=error.kind.value,
        detail=error.detail,
        ran=error.ran.value,
        retry_after_s=error.retry_after_s,
    )


def to_error(failure: envelope_pb2.Failure) -> errors.Error:
    """Return the error in a message; an unknown kind becomes ``INTERNAL``."""
    retry_after_s = None
    if failure.HasField("retry_after_s"):
        retry_after_s = failure.retry_after_s
    try:
        kind = errors.Kind(failure.kind)
    except ValueError:
        kind = errors.Kind.INTERNAL
    try:
        ran = errors.Ran(failure.ran)
    except ValueError:
        ran = errors.Ran.MAY_HAVE_RUN
    return errors.Error(kind, failure.detail, ran=ran, retry_after_s=retry_after_s)
