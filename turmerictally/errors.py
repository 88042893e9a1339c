"""Define the closed list of error kinds and the answer for each."""

import enum

import attrs

RAN_HEADER = "x-turmerictally-ran"  # tells callers one of ``Ran``


class Ran(enum.Enum):
    """Tell whether the refused work was executed."""

    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"
    DONE = "done"


class Kind(enum.Enum):
    """List every error kind a caller, operator or peer can receive."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    KEY_WITHDRAWN = "key_withdrawn"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    CONFLICT = "conflict"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    IDEMPOTENCY_IN_PROGRESS = "idempotency_in_progress"
    RATE_LIMITED = "rate_limited"
    LIMITS_UNAVAILABLE = "limits_unavailable"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_BACKEND_SERVER = "no_backend_server"
    BACKEND_SERVER_UNREACHABLE = "backend_server_unreachable"
    BACKEND_SERVER_ERROR = "backend_server_error"
    ANSWER_INCOMPLETE = "answer_incomplete"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CANCELLED = "cancelled"
    CONFIGURATION_STALE = "configuration_stale"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PEER_UNAVAILABLE = "peer_unavailable"
    PEER_REFUSED = "peer_refused"
    FENCED = "fenced"
    RESULT_EXPIRED = "result_expired"
    INTERNAL = "internal"


@attrs.frozen
class Answer:
    """Describe how an error kind is answered over HTTP."""

    status: int
    type: str
    ran: Ran
    message: str


def _answer(status: int, type_: str, ran: Ran, message: str) -> Answer:
    return Answer(status=status, type=type_, ran=ran, message=message)


_CALLER = "invalid_request_error"
_AUTH = "authentication_error"
_LIMIT = "rate_limit_error"
_SERVER = "server_error"

ANSWERS: dict[Kind, Answer] = {
    Kind.BAD_REQUEST: _answer(400, _CALLER, Ran.NOT_RUN, "The request is not valid."),
    Kind.BODY_TOO_LARGE: _answer(
        413, _CALLER, Ran.NOT_RUN, "The request body is too large."
    ),
    Kind.UNAUTHENTICATED: _answer(
        401, _AUTH, Ran.NOT_RUN, "No valid key came with the request."
    ),
    Kind.KEY_WITHDRAWN: _answer(
        401, _AUTH, Ran.MAY_HAVE_RUN, "The key was withdrawn during the request."
    ),
    Kind.FORBIDDEN: _answer(
        403, _CALLER, Ran.NOT_RUN, "The key does not allow this request."
    ),
    Kind.NOT_FOUND: _answer(404, _CALLER, Ran.NOT_RUN, "Not found."),
    Kind.METHOD_NOT_ALLOWED: _answer(
        405, _CALLER, Ran.NOT_RUN, "The method is not allowed here."
    ),
    Kind.UNKNOWN_MODEL: _answer(404, _CALLER, Ran.NOT_RUN, "The model does not exist."),
    Kind.CONFLICT: _answer(
        409, _CALLER, Ran.NOT_RUN, "The object was changed in the meantime."
    ),
    Kind.IDEMPOTENCY_MISMATCH: _answer(
        422, _CALLER, Ran.NOT_RUN, "The idempotency key belongs to another request."
    ),
    Kind.IDEMPOTENCY_IN_PROGRESS: _answer(
        409, _CALLER, Ran.MAY_HAVE_RUN, "The first request is still in progress."
    ),
    Kind.RATE_LIMITED: _answer(
        429, _LIMIT, Ran.NOT_RUN, "The team's rate and burst are used up."
    ),
    Kind.LIMITS_UNAVAILABLE: _answer(
        503, _SERVER, Ran.NOT_RUN, "The team's limit cannot be checked now."
    ),
    Kind.OVERLOADED: _answer(
        503, _SERVER, Ran.NOT_RUN, "The system is at its capacity."
    ),
    Kind.DEADLINE_UNREACHABLE: _answer(
        503, _SERVER, Ran.NOT_RUN, "The request cannot meet its deadline."
    ),
    Kind.DEADLINE_EXCEEDED: _answer(
        504, _SERVER, Ran.MAY_HAVE_RUN, "The deadline passed during the request."
    ),
    Kind.NO_BACKEND_SERVER: _answer(
        503, _SERVER, Ran.NOT_RUN, "No backend server is available."
    ),
    Kind.BACKEND_SERVER_UNREACHABLE: _answer(
        502, _SERVER, Ran.NOT_RUN, "The backend server could not be reached."
    ),
    Kind.BACKEND_SERVER_ERROR: _answer(
        502, _SERVER, Ran.MAY_HAVE_RUN, "The backend server failed."
    ),
    Kind.ANSWER_INCOMPLETE: _answer(
        502, _SERVER, Ran.MAY_HAVE_RUN, "The answer is not whole."
    ),
    Kind.OUTCOME_UNKNOWN: _answer(
        502, _SERVER, Ran.MAY_HAVE_RUN, "The request may have run; it is not repeated."
    ),
    Kind.CANCELLED: _answer(409, _CALLER, Ran.MAY_HAVE_RUN, "The work was cancelled."),
    Kind.CONFIGURATION_STALE: _answer(
        503, _SERVER, Ran.NOT_RUN, "The host's configuration is too old to check keys."
    ),
    Kind.NOT_READY: _answer(503, _SERVER, Ran.NOT_RUN, "The host is not ready."),
    Kind.STOPPING: _answer(503, _SERVER, Ran.NOT_RUN, "The host is stopping."),
    Kind.PLATFORM_UNAVAILABLE: _answer(
        503, _SERVER, Ran.NOT_RUN, "The platform's store is not available."
    ),
    Kind.PEER_UNAVAILABLE: _answer(
        503, _SERVER, Ran.NOT_RUN, "No other host could be reached."
    ),
    Kind.PEER_REFUSED: _answer(
        403, _SERVER, Ran.NOT_RUN, "The other host refused the message."
    ),
    Kind.FENCED: _answer(409, _SERVER, Ran.NOT_RUN, "A newer lease holder exists."),
    Kind.RESULT_EXPIRED: _answer(
        410, _CALLER, Ran.DONE, "The result's retention has ended."
    ),
    Kind.INTERNAL: _answer(
        500, _SERVER, Ran.MAY_HAVE_RUN, "The host met an internal error."
    ),
}


class Error(Exception):
    """Carry one error kind with its detail.

    ``ran`` defaults to the table's value for the kind. ``retry_after_s`` is in
    seconds from now, or None when a retry cannot help.
    """

    def __init__(
        self,
        kind: Kind,
        detail: str = "",
        *,
        ran: Ran | None = None,
        retry_after_s: float | None = None,
        param: str | None = None,
    ) -> None:
        self.kind = kind
        self.detail = detail
        self.ran = ran or ANSWERS[kind].ran
        self.retry_after_s = retry_after_s
        self.param = param
        super().__init__(self.message)

    @property
    def message(self) -> str:
        """Return the table's sentence followed by the detail."""
        base = ANSWERS[self.kind].message
        return f"{base} {self.detail}".strip()

    @property
    def status(self) -> int:
        """Return the HTTP status of the kind."""
        return ANSWERS[self.kind].status

    def body(self) -> dict:
        """Return the error body in the shape model clients expect."""
        return {
            "error": {
                "message": self.message,
                "type": ANSWERS[self.kind].type,
                "param": self.param,
                "code": self.kind.value,
                "ran": self.ran.value,
            }
        }

    def headers(self) -> dict[str, str]:
        """Return the HTTP headers that belong to the answer."""
        headers = {RAN_HEADER: self.ran.value}
        if self.retry_after_s is not None:
            headers["retry-after"] = str(max(1, round(self.retry_after_s + 0.499)))
        return headers
