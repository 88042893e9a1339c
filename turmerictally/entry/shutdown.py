"""Keep the deadlines of this host's planned stop, and end what they bound."""

import collections
import collections.abc
import contextlib
import random
import typing

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.entry import gossip, model
from turmerictally.entry import trace as traces
from turmerictally.scheduling import drain

REASON = "host stops"


class Response(typing.Protocol):
    """Tell whether a response was begun."""

    started: bool


@attrs.define(eq=False)
class Shutdown:
    """Hold the state of a planned stop; before it, nothing is refused or ended.

    ``polls`` and ``unanswered`` hold the blocks that the stop ends: those that only
    wait for news when it begins, and those without a response at ``answer_by``.
    ``outcomes`` counts the requests that came during the stop or were ended by it.
    """

    hosts: gossip.HostDirectory
    clock: clocks.Clock
    trace: traces.Trace
    rng: random.Random
    durations: drain.Durations = attrs.field(factory=drain.Durations)
    deadlines: drain.Deadlines = drain.Deadlines()
    begun: bool = False
    answers_due: bool = False
    polls: set[trio.CancelScope] = attrs.Factory(set)
    unanswered: dict[trio.CancelScope, Response] = attrs.Factory(dict)
    outcomes: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def begin(self, grace_s: float, unready_s: float) -> None:
        """Set the deadlines and end the waits for news."""
        self.deadlines = drain.deadlines(self.clock.monotonic(), grace_s, unready_s)
        self.begun = True
        for scope in self.polls:
            scope.cancel()

    def end_unanswered(self) -> None:
        """End the work on requests without a response, which then get an error."""
        self.answers_due = True
        for scope, response in self.unanswered.items():
            if not response.started:
                scope.cancel()

    @contextlib.contextmanager
    def poll(self) -> collections.abc.Iterator[None]:
        """Run a block that waits for news until the stop begins."""
        with trio.CancelScope() as scope:
            if self.begun:
                scope.cancel()
            self.polls.add(scope)
            try:
                yield
            finally:
                self.polls.discard(scope)

    @contextlib.contextmanager
    def answer_in_time(
        self, response: Response
    ) -> collections.abc.Iterator[trio.CancelScope]:
        """Run a block until ``answer_by`` unless the response has begun by then."""
        with trio.CancelScope() as scope:
            if self.answers_due and not response.started:
                scope.cancel()
            self.unanswered[scope] = response
            try:
                yield scope
            finally:
                del self.unanswered[scope]

    def check(
        self,
        request_id: str,
        route: model.Route,
        size: int,
        deadline: float,
        *,
        again: bool = False,
    ) -> drain.Refusal | None:
        """Return why a request can't be taken any more, None if it can.

        ``deadline`` is the request's own, in monotonic seconds. A check made ``again``,
        after a wait, logs only refusals.
        """
        if not self.begun:
            return None
        now = self.clock.monotonic()
        other_host_ready = any(not peer.stopping for peer in self.hosts.reachable())
        certainty = drain.required_certainty(
            repeatable=route.repeatable or route.kind is model.Kind.BATCH,
            streamed=route.kind is model.Kind.STREAM,
            other_host_ready=other_host_ready,
            in_rotation=now < self.deadlines.in_rotation_until,
        )
        left_s = self.deadlines.answer_by - now
        limit_s = max(0.0, deadline - now)
        expected_s = self.durations.expected_s(
            route.name, size, certainty, limit_s, now
        )
        if drain.fits(left_s, expected_s):
            if not again:
                self._log(request_id, left_s, expected_s, limit_s, certainty, "taken")
            return None
        self._log(request_id, left_s, expected_s, limit_s, certainty, "refused")
        return drain.Refusal(
            f"{REASON} in {max(0.0, left_s):.1f} s, "
            f"such requests take {expected_s:.1f} s",
            left_s,
            expected_s,
            self.retry_after_s(),
        )

    def end_request(self, deadline: float) -> drain.Refusal:
        """Return why a request that has no response by ``answer_by`` gets an error."""
        self.outcomes["ended"] += 1
        now = self.clock.monotonic()
        left_s = self.deadlines.answer_by - now
        return drain.Refusal(REASON, left_s, deadline - now, self.retry_after_s())

    def retry_after_s(self) -> float:
        """Return when a refused caller should try again, which other hosts shorten."""
        ready = any(not peer.stopping for peer in self.hosts.reachable())
        return self.rng.uniform(
            *(drain.OTHER_HOST_RETRY_AFTER_S if ready else drain.NO_HOST_RETRY_AFTER_S)
        )

    def _log(
        self,
        request_id: str,
        left_s: float,
        expected_s: float,
        limit_s: float,
        certainty: drain.Certainty,
        outcome: str,
    ) -> None:
        self.outcomes[outcome] += 1
        self.trace.emit(
            "checked_in_stop",
            request_id,
            left_s=round(left_s, 3),
            expected_s=round(expected_s, 3),
            limit_s=round(limit_s, 3),
            certainty=certainty.name.lower(),
            outcome=outcome,
        )
