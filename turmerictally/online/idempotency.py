"""Run a non-idempotent request at most once, even if resent to other hosts."""

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
HOLDER_QUERY_TIMEOUT_S = 0.5
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 5.0
# Bounds on responses and claims kept in memory while the platform is unavailable.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_UNSTORED_CLAIMS = 2048
SWEEP_INTERVAL_S = 60.0
SWEEP_ROWS = 200


IsAlive = collections.abc.Callable[[str, str], bool]
AddressOf = collections.abc.Callable[[str], str | None]


class Claims:
    """Manage one claim row per team and idempotency key.

    A claim is written before the request is sent. Another host takes it over only if
    the claim's holder reports that nothing was sent. ``is_alive`` returns whether an
    instance of a host is alive, and ``address_of`` a host's peer address.
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
        is_alive: IsAlive,
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
        self.send_unstored, self.receive_unstored = trio.open_memory_channel[
            rows.Claim
        ](MAX_UNSTORED_CLAIMS)
        self.cursor = rows.PREFIX
        peers.handle(calls.Kind.IDEMPOTENCY, self.handle_query)

    async def run(self) -> None:
        """Retry failed writes of finished claims, and delete expired rows."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._sweep_forever)
            async for claim in self.receive_unstored:
                await self._settle_until_stored(claim)

    async def begin(self, request: messages.Request) -> rows.Claim | messages.Response:
        """Claim a request, or return the stored response of its first run.

        Raises ``errors.Error``; ``PLATFORM_UNAVAILABLE`` means that this attempt was
        not run.
        """
        claim = self._new_claim(request)
        deadline = self.clock.monotonic() + CLAIM_TIMEOUT_S
        deadline = min(deadline, request.deadline)
        active = self.by_row.get(claim.row)
        if active is not None:
            return self._respond_to_resend(active, claim)
        self.by_row[claim.row] = claim
        try:
            return await self._acquire(claim, deadline)
        except BaseException:
            self._abandon(claim)
            raise

    async def finish(self, claim: rows.Claim, response: messages.Response) -> None:
        """Store the response; a failed write is retried in the background."""
        claim.response = response
        claim.finished = True
        self.held_response_bytes += len(response.body)
        await self._settle(claim)

    async def fail(self, claim: rows.Claim, ran: errors.Ran) -> None:
        """End a claim without a response: delete it, or mark its outcome unknown."""
        claim.finished = True
        claim.not_run = ran is errors.Ran.NOT_RUN
        await self._settle(claim)

    async def drain(self) -> None:
        """Wait until the outcome of every claim is stored, before a planned stop."""
        while self.by_row:
            await trio.sleep(MIN_RETRY_DELAY_S)

    async def handle_query(self, caller: calls.Caller, body: bytes) -> bytes:
        """Return the state of a claim that this host holds to another host."""
        query = routing_pb2.IdempotencyQuery.FromString(body)
        state = routing_pb2.IdempotencyState()
        claim = self.by_row.get(query.row)
        if claim is None or claim.id != query.claim:
            return state.SerializeToString()
        state.state = routing_pb2.IdempotencyState.RUNNING
        if claim.finished and claim.not_run:
            state.state = routing_pb2.IdempotencyState.NOT_RUN
        elif claim.response is not None:
            state.state = routing_pb2.IdempotencyState.ANSWERED
            state.answer = json.dumps(rows.encode(claim.response)).encode()
        return state.SerializeToString()

    def _new_claim(self, request: messages.Request) -> rows.Claim:
        key = hashlib.sha256(request.idempotency_key.encode()).hexdigest()
        expires = self.clock.wall() + self.options.idempotency_ttl_s
        return rows.Claim(
            row=f"{rows.PREFIX}{request.team}/{key}",
            id=uuid.UUID(int=self.rng.getrandbits(128)).hex,
            team=request.team,
            digest=rows.digest(request),
            expires=expires,
        )

    def _respond_to_resend(
        self, active: rows.Claim, claim: rows.Claim
    ) -> messages.Response:
        """Respond to a resend from the claim that this host holds in memory."""
        if active.digest != claim.digest:
            raise errors.Error(errors.Kind.IDEMPOTENCY_MISMATCH)
        if active.response is not None:
            rows.check_team(claim)
            return attrs.evolve(active.response, replayed=True)
        if not active.finished:
            raise rows.in_progress()
        if active.not_run:
            raise rows.unavailable()
        raise errors.Error(errors.Kind.OUTCOME_UNKNOWN)

    async def _acquire(
        self, claim: rows.Claim, deadline: float
    ) -> rows.Claim | messages.Response:
        version = table.ABSENT
        while True:
            try:
                await self._with_timeout(
                    self._write(claim, version, _row_value(claim, self))
                )
                return claim
            except table.ConflictError:
                pass
            except table.UnavailableError:
                await self._delay_retry(deadline)
                continue
            resolved = await self._resolve(claim, deadline)
            if isinstance(resolved, int):
                version = resolved
                continue
            if isinstance(resolved, messages.Response):
                self._remove(claim)
            return resolved

    async def _resolve(
        self, claim: rows.Claim, deadline: float
    ) -> rows.Claim | messages.Response | int:
        """Resolve a conflict with an existing row; an int is a version to overwrite."""
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
        return await self._query_holder(claim, row)

    async def _query_holder(
        self, claim: rows.Claim, row: table.Row
    ) -> messages.Response | int:
        value = row.value
        state = await self._query_peer(value["host"], row.key, value["claim"])
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

    async def _query_peer(self, host: str, row: str, claim: str):
        address = self.address_of(host)
        if address is None or host == self.host_id:
            return None
        query = routing_pb2.IdempotencyQuery(row=row, claim=claim)
        deadline = self.clock.monotonic() + HOLDER_QUERY_TIMEOUT_S
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
            await self._with_timeout(
                self.table.commit(checks, [table.Put(row.key, value)])
            )
        except table.ConflictError:
            # The holder stored its response meanwhile; the next resend will replay it.
            raise rows.in_progress() from None
        except table.UnavailableError:
            logger.debug("Platform unavailable; claim not marked as unknown.")

    async def _replay(self, value: dict, deadline: float) -> messages.Response:
        stored = value.get("answer")
        if stored is None:
            data = await self._read_object(value["object"], deadline)
            stored = json.loads(data)
        return rows.decode(stored)

    async def _read_object(self, key: str, deadline: float) -> bytes:
        while True:
            try:
                return await self._with_timeout(self.objects.get(key))
            except KeyError:
                raise errors.Error(errors.Kind.RESULT_EXPIRED) from None
            except table.UnavailableError:
                await self._delay_retry(deadline)

    async def _read(self, key: str, deadline: float) -> table.Row | None:
        while True:
            try:
                return await self._with_timeout(self.table.get(key))
            except table.UnavailableError:
                await self._delay_retry(deadline)

    async def _delay_retry(self, deadline: float) -> None:
        delay_s = MIN_RETRY_DELAY_S * self.rng.uniform(0.5, 1.5)
        if self.clock.monotonic() + delay_s >= deadline:
            raise rows.unavailable()
        await trio.sleep(delay_s)

    async def _with_timeout(self, call: collections.abc.Awaitable):
        with trio.move_on_after(STORE_TIMEOUT_S):
            return await call
        raise table.UnavailableError("timeout", maybe_applied=True)

    async def _write(self, claim: rows.Claim, version: int, value: dict) -> None:
        claim.maybe_written = True
        checks = [table.Check(claim.row, version)]
        await self.table.commit(checks, [table.Put(claim.row, value)])

    def _abandon(self, claim: rows.Claim) -> None:
        """Drop a claim before anything was sent; an earlier write may still apply."""
        claim.finished = True
        claim.not_run = True
        if claim.maybe_written:
            self._settle_later(claim)
        else:
            self._remove(claim)

    async def _settle(self, claim: rows.Claim) -> None:
        try:
            with trio.CancelScope(shield=True):
                await self._with_timeout(self._store(claim))
        except table.UnavailableError:
            self._settle_later(claim)
            return
        self._remove(claim)

    def _settle_later(self, claim: rows.Claim) -> None:
        if self.held_response_bytes > MAX_RESPONSE_BYTES and claim.response is not None:
            self.held_response_bytes -= len(claim.response.body)
            claim.response = None
        try:
            self.send_unstored.send_nowait(claim)
        except trio.WouldBlock:
            logger.warning(
                "Too many claims wait to be stored; one is dropped unstored."
            )
            self._remove(claim)

    async def _settle_until_stored(self, claim: rows.Claim) -> None:
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                await self._with_timeout(self._store(claim))
                self._remove(claim)
                return
            except table.UnavailableError:
                await trio.sleep(delay_s * self.rng.uniform(0.5, 1.5))
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def _store(self, claim: rows.Claim) -> None:
        """Write the claim's outcome, unless the row belongs to another claim."""
        row = await self.table.get(claim.row)
        if row is None or row.value["claim"] != claim.id:
            return
        check = table.Check(claim.row, row.version)
        write = await self._outcome_write(claim, row)
        try:
            await self.table.commit([check], [write])
        except table.ConflictError:
            # Another host marked the row unknown, or an earlier write was applied.
            raise table.UnavailableError("row changed") from None

    async def _outcome_write(self, claim: rows.Claim, row: table.Row) -> table.Write:
        if claim.not_run:
            return table.Delete(claim.row)
        value = {**row.value, "state": rows.UNKNOWN}
        if claim.response is None:
            return table.Put(claim.row, value)
        value["state"] = rows.DONE
        encoded = rows.encode(claim.response)
        if len(claim.response.body) <= self.options.idempotency_max_answer_bytes:
            value["answer"] = encoded
        else:
            value["object"] = f"{claim.row}/{claim.id}"
            await self.objects.put(value["object"], json.dumps(encoded).encode())
        return table.Put(claim.row, value)

    def _remove(self, claim: rows.Claim) -> None:
        if self.by_row.get(claim.row) is claim:
            del self.by_row[claim.row]
            if claim.response is not None:
                self.held_response_bytes -= len(claim.response.body)

    async def _sweep_forever(self) -> None:
        while True:
            await trio.sleep(SWEEP_INTERVAL_S * self.rng.uniform(0.5, 1.5))
            with contextlib.suppress(table.UnavailableError, table.ConflictError):
                await self.sweep()

    async def sweep(self) -> None:
        """Delete the expired rows of the next ``SWEEP_ROWS`` and advance the cursor."""
        scanned = await self.table.scan(
            rows.PREFIX, after=self.cursor, limit=SWEEP_ROWS
        )
        self.cursor = scanned[-1].key if len(scanned) == SWEEP_ROWS else rows.PREFIX
        for row in scanned:
            if row.value["expires"] > self.clock.wall():
                continue
            if "object" in row.value:
                await self.objects.delete(row.value["object"])
            check = table.Check(row.key, row.version)
            await self.table.commit([check], [table.Delete(row.key)])


def _row_value(claim: rows.Claim, holder: Claims) -> dict:
    return {
        "state": rows.IN_PROGRESS,
        "claim": claim.id,
        "host": holder.host_id,
        "instance": holder.instance,
        "digest": claim.digest,
        "expires": claim.expires,
    }
