"""Run a non-idempotent request at most once, whichever hosts its resends reach."""

import collections.abc
import contextlib
import hashlib
import json
import logging
import random
import uuid

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.online import messages, rows
from turmerictally.peers import calls, routing_pb2
from turmerictally.store import objects, table

logger = logging.getLogger(__name__)

CLAIM_TIMEOUT_S = 3.0
STORE_TIMEOUT_S = 1.0
ASK_TIMEOUT_S = 0.5
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 5.0
# Answers held in memory while the platform cannot store them.
MAX_HELD_BYTES = 16 * 1024 * 1024
MAX_UNSTORED = 2048
SWEEP_S = 60.0
SWEEP_ROWS = 200


Alive = collections.abc.Callable[[str, str], bool]
AddressOf = collections.abc.Callable[[str], str | None]


class Claims:
    """Keep one claim row for each team and idempotency key.

    A claim is written before the request is sent and is never taken over unless its
    holder itself says that nothing was sent. ``is_alive`` tells whether a host's
    instance lives, and ``address_of`` its peer address.
    """

    def __init__(
        self,
        host_id: str,
        instance: str,
        store: table.Table,
        object_store: objects.Objects,
        peers: calls.Peers,
        options: settings.Online,
        *,
        clock: clocks.Clock,
        rng: random.Random,
        is_alive: Alive,
        address_of: AddressOf,
    ) -> None:
        self.host_id = host_id
        self.instance = instance
        self.table = store
        self.objects = object_store
        self.peers = peers
        self.options = options
        self.clock = clock
        self.rng = rng
        self.is_alive = is_alive
        self.address_of = address_of
        self.by_row: dict[str, rows.Claim] = {}
        self.held_response_bytes = 0
        self.work, self.queue = trio.open_memory_channel[rows.Claim](MAX_UNSTORED)
        self.cursor = rows.PREFIX
        peers.handle(calls.Kind.IDEMPOTENCY, self.handle_query)

    async def run(self) -> None:
        """Store what could not be stored at once, and delete expired rows."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep_forever)
            async for claim in self.queue:
                await self._settle_until_stored(claim)

    async def begin(self, request: messages.Request) -> rows.Claim | messages.Response:
        """Claim a request, or return the stored answer of its first run.

        Raises ``errors.Error``; ``PLATFORM_UNAVAILABLE`` means that this attempt was
        not run.
        """
        claim = self._claim(request)
        deadline = self.clock.monotonic() + CLAIM_TIMEOUT_S
        deadline = min(deadline, request.deadline)
        mine = self.by_row.get(claim.row)
        if mine is not None:
            return self._resend(mine, claim)
        self.by_row[claim.row] = claim
        try:
            return await self._acquire(claim, deadline)
        except BaseException:
            self._abandon(claim)
            raise

    async def finish(self, claim: rows.Claim, answer: messages.Response) -> None:
        """Store the answer; a failed write goes on in the background."""
        claim.answer = answer
        claim.finished = True
        self.held_response_bytes += len(answer.body)
        await self._settle(claim)

    async def fail(self, claim: rows.Claim, ran: errors.Ran) -> None:
        """End a claim without an answer: release it, or mark it unknown."""
        claim.finished = True
        claim.not_run = ran is errors.Ran.NOT_RUN
        await self._settle(claim)

    async def drain(self) -> None:
        """Wait until every claim's end is stored, as before a planned stop."""
        while self.by_row:
            await trio.sleep(MIN_PAUSE_S)

    async def handle_query(self, caller: calls.Caller, body: bytes) -> bytes:
        """Tell another host the state of a claim held here."""
        query = routing_pb2.IdempotencyQuery.FromString(body)
        state = routing_pb2.IdempotencyState()
        claim = self.by_row.get(query.row)
        if claim is None or claim.id != query.claim:
            return state.SerializeToString()
        state.state = routing_pb2.IdempotencyState.RUNNING
        if claim.finished and claim.not_run:
            state.state = routing_pb2.IdempotencyState.NOT_RUN
        elif claim.answer is not None:
            state.state = routing_pb2.IdempotencyState.ANSWERED
            state.answer = json.dumps(rows.encode(claim.answer)).encode()
        return state.SerializeToString()

    def _claim(self, request: messages.Request) -> rows.Claim:
        key = hashlib.sha256(request.idempotency_key.encode()).hexdigest()
        expires = self.clock.wall() + self.options.idempotency_ttl_s
        return rows.Claim(
            row=f"{rows.PREFIX}{request.team}/{key}",
            id=uuid.UUID(int=self.rng.getrandbits(128)).hex,
            team=request.team,
            digest=rows.digest(request),
            expires=expires,
        )

    def _resend(self, mine: rows.Claim, claim: rows.Claim) -> messages.Response:
        """Answer a resend from what this host still holds."""
        if mine.digest != claim.digest:
            raise errors.Error(errors.Kind.IDEMPOTENCY_MISMATCH)
        if mine.answer is not None:
            rows.check_team(claim)
            return attrs.evolve(mine.answer, replayed=True)
        if not mine.finished:
            raise rows.in_progress()
        if mine.not_run:
            raise rows.unavailable()
        raise errors.Error(errors.Kind.OUTCOME_UNKNOWN)

    async def _acquire(
        self, claim: rows.Claim, deadline: float
    ) -> rows.Claim | messages.Response:
        version = table.ABSENT
        while True:
            try:
                await self._bounded(self._write(claim, version, _fresh(claim, self)))
                return claim
            except table.ConflictError:
                pass
            except table.UnavailableError:
                await self._pause(deadline)
                continue
            found = await self._resolve(claim, deadline)
            if isinstance(found, int):
                version = found
                continue
            if isinstance(found, messages.Response):
                self._forget(claim)
            return found

    async def _resolve(
        self, claim: rows.Claim, deadline: float
    ) -> rows.Claim | messages.Response | int:
        """Decide about an existing row; return a version that may be taken over."""
        row = await self._read(claim.row, deadline)
        if row is None:
            return table.ABSENT
        value = row.value
        if value["claim"] == claim.id:
            return claim
        claim.maybe_written = False
        if value["expires"] <= self.clock.wall() and value["state"] != rows.IN_PROGRESS:
            return row.version
        if value["digest"] != claim.digest:
            raise errors.Error(errors.Kind.IDEMPOTENCY_MISMATCH)
        if value["state"] == rows.DONE:
            rows.check_team(claim)
            return await self._replay(value, deadline)
        if value["state"] == rows.UNKNOWN:
            raise errors.Error(errors.Kind.OUTCOME_UNKNOWN)
        return await self._ask_holder(claim, row)

    async def _ask_holder(
        self, claim: rows.Claim, row: table.Row
    ) -> messages.Response | int:
        value = row.value
        state = await self._query(value["host"], row.key, value["claim"])
        if state is not None:
            if state.state == routing_pb2.IdempotencyState.NOT_RUN:
                return row.version
            if state.state == routing_pb2.IdempotencyState.ANSWERED:
                rows.check_team(claim)
                return rows.decode(json.loads(state.answer))
            if state.state == routing_pb2.IdempotencyState.RUNNING:
                raise rows.in_progress()
        if state is None and self.is_alive(value["host"], value["instance"]):
            raise rows.in_progress()
        await self._mark_unknown(row)
        raise errors.Error(errors.Kind.OUTCOME_UNKNOWN)

    async def _query(self, host: str, row: str, claim: str):
        address = self.address_of(host)
        if address is None or host == self.host_id:
            return None
        query = routing_pb2.IdempotencyQuery(row=row, claim=claim)
        deadline = self.clock.monotonic() + ASK_TIMEOUT_S
        try:
            reply = await self.peers.call(
                address,
                calls.Kind.IDEMPOTENCY,
                query.SerializeToString(),
                deadline=deadline,
            )
        except errors.Error:
            return None
        return routing_pb2.IdempotencyState.FromString(reply)

    async def _mark_unknown(self, row: table.Row) -> None:
        value = {**row.value, "state": rows.UNKNOWN}
        checks = [table.Check(row.key, row.version)]
        try:
            await self._bounded(self.table.commit(checks, [table.Put(row.key, value)]))
        except table.ConflictError:
            # The holder stored its answer in the meantime; the resend will find it.
            raise rows.in_progress() from None
        except table.UnavailableError:
            logger.debug("A claim could not be marked unknown.")

    async def _replay(self, value: dict, deadline: float) -> messages.Response:
        stored = value.get("answer")
        if stored is None:
            data = await self._read_object(value["object"], deadline)
            stored = json.loads(data)
        return rows.decode(stored)

    async def _read_object(self, key: str, deadline: float) -> bytes:
        while True:
            try:
                return await self._bounded(self.objects.get(key))
            except KeyError:
                raise errors.Error(errors.Kind.RESULT_EXPIRED) from None
            except table.UnavailableError:
                await self._pause(deadline)

    async def _read(self, key: str, deadline: float) -> table.Row | None:
        while True:
            try:
                return await self._bounded(self.table.get(key))
            except table.UnavailableError:
                await self._pause(deadline)

    async def _pause(self, deadline: float) -> None:
        pause = MIN_PAUSE_S * self.rng.uniform(0.5, 1.5)
        if self.clock.monotonic() + pause >= deadline:
            raise rows.unavailable()
        await trio.sleep(pause)

    async def _bounded(self, call: collections.abc.Awaitable):
        with trio.move_on_after(STORE_TIMEOUT_S):
            return await call
        raise table.UnavailableError("timeout", maybe_applied=True)

    async def _write(self, claim: rows.Claim, version: int, value: dict) -> None:
        claim.maybe_written = True
        checks = [table.Check(claim.row, version)]
        await self.table.commit(checks, [table.Put(claim.row, value)])

    def _abandon(self, claim: rows.Claim) -> None:
        """Give a claim up before anything was sent; its row may still be written."""
        claim.finished = True
        claim.not_run = True
        if claim.maybe_written:
            self._settle_later(claim)
        else:
            self._forget(claim)

    async def _settle(self, claim: rows.Claim) -> None:
        try:
            with trio.CancelScope(shield=True):
                await self._bounded(self._store(claim))
        except table.UnavailableError:
            self._settle_later(claim)
            return
        self._forget(claim)

    def _settle_later(self, claim: rows.Claim) -> None:
        if self.held_response_bytes > MAX_HELD_BYTES and claim.answer is not None:
            self.held_response_bytes -= len(claim.answer.body)
            claim.answer = None
        try:
            self.work.send_nowait(claim)
        except trio.WouldBlock:
            logger.warning("Too many claims wait for the platform; one is left.")
            self._forget(claim)

    async def _settle_until_stored(self, claim: rows.Claim) -> None:
        pause = MIN_PAUSE_S
        while True:
            try:
                await self._bounded(self._store(claim))
                self._forget(claim)
                return
            except table.UnavailableError:
                await trio.sleep(pause * self.rng.uniform(0.5, 1.5))
                pause = min(MAX_PAUSE_S, pause * 2)

    async def _store(self, claim: rows.Claim) -> None:
        """Write the claim's end, unless the row belongs to another claim."""
        row = await self.table.get(claim.row)
        if row is None or row.value["claim"] != claim.id:
            return
        check = table.Check(claim.row, row.version)
        write = await self._end(claim, row)
        try:
            await self.table.commit([check], [write])
        except table.ConflictError:
            # Another host marked the row unknown, or an earlier write had effect.
            raise table.UnavailableError("row changed") from None

    async def _end(self, claim: rows.Claim, row: table.Row) -> table.Write:
        if claim.not_run:
            return table.Delete(claim.row)
        value = {**row.value, "state": rows.UNKNOWN}
        if claim.answer is None:
            return table.Put(claim.row, value)
        value["state"] = rows.DONE
        encoded = rows.encode(claim.answer)
        if len(claim.answer.body) <= self.options.idempotency_max_answer_bytes:
            value["answer"] = encoded
        else:
            value["object"] = f"{claim.row}/{claim.id}"
            await self.objects.put(value["object"], json.dumps(encoded).encode())
        return table.Put(claim.row, value)

    def _forget(self, claim: rows.Claim) -> None:
        if self.by_row.get(claim.row) is claim:
            del self.by_row[claim.row]
            if claim.answer is not None:
                self.held_response_bytes -= len(claim.answer.body)

    async def _sweep_forever(self) -> None:
        while True:
            await trio.sleep(SWEEP_S * self.rng.uniform(0.5, 1.5))
            with contextlib.suppress(table.UnavailableError, table.ConflictError):
                await self.sweep()

    async def sweep(self) -> None:
        """Delete expired rows among the next few, and move on."""
        found = await self.table.scan(rows.PREFIX, after=self.cursor, limit=SWEEP_ROWS)
        self.cursor = found[-1].key if len(found) == SWEEP_ROWS else rows.PREFIX
        for row in found:
            if row.value["expires"] > self.clock.wall():
                continue
            if "object" in row.value:
                await self.objects.delete(row.value["object"])
            check = table.Check(row.key, row.version)
            await self.table.commit([check], [table.Delete(row.key)])


def _fresh(claim: rows.Claim, holder: Claims) -> dict:
    return {
        "state": rows.IN_PROGRESS,
        "claim": claim.id,
        "host": holder.host_id,
        "instance": holder.instance,
        "digest": claim.digest,
        "expires": claim.expires,
    }
