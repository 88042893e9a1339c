"""Run the items of one claimed range and commit their results in parts."""

import collections.abc
import logging

import attrs
import trio

from turmerictally import errors
from turmerictally.batch import capacity, context, files, lease, ranges, records

logger = logging.getLogger(__name__)

FIRST_ERROR_STATUS = 400  # answers from here on count as failed items
CHECK_S = 0.25  # pause before a held-up item looks again, in seconds
WAIT_MIN_S = 0.5  # first pause after a refusal, in seconds
WAIT_MAX_S = 30.0
UNKNOWN_WAIT_S = 4.0  # two waits outlast the time of a configuration change
IDLE_RANGE_S = 90.0  # a range whose items cannot start so long is given back
MARK_ITEMS = 32  # items on non-idempotent routes whose start is recorded at once

# Refusals that say nothing against the item; they count as tries only once the
# job's deadline has passed.
PASSING = {
    errors.Kind.OVERLOADED,
    errors.Kind.NO_BACKEND_SERVER,
    errors.Kind.RATE_LIMITED,
    errors.Kind.LIMITS_UNAVAILABLE,
    errors.Kind.DEADLINE_UNREACHABLE,
    errors.Kind.NOT_READY,
    errors.Kind.STOPPING,
    errors.Kind.CONFIGURATION_STALE,
    errors.Kind.PLATFORM_UNAVAILABLE,
    errors.Kind.PEER_UNAVAILABLE,
}

# Refusals that another try cannot change.
PERMANENT = {
    errors.Kind.BAD_REQUEST,
    errors.Kind.BODY_TOO_LARGE,
    errors.Kind.FORBIDDEN,
    errors.Kind.METHOD_NOT_ALLOWED,
    errors.Kind.OUTCOME_UNKNOWN,
}

# Refusals that a configuration change on its way to this host may lift.
UNKNOWN = {errors.Kind.NOT_FOUND, errors.Kind.UNKNOWN_MODEL}


@attrs.define
class Work:
    """Run one claimed range to its end, to its cancellation or to a release."""

    context: context.Context
    claim: ranges.Claim
    file: records.File
    data: bytes = b""
    pending: list[ranges.Result] = attrs.Factory(list)
    pending_bytes: int = 0
    failed_tries: dict[int, int] = attrs.Factory(dict)
    stopped: bool = False
    unstarted: int = 0
    sending: int = 0
    last_sent: float = 0.0
    outer: trio.Nursery | None = None
    scope: trio.CancelScope = attrs.Factory(trio.CancelScope)
    flush: trio.Event = attrs.Factory(trio.Event)
    lock: trio.Lock = attrs.Factory(trio.Lock)

    @property
    def job(self) -> records.Job:
        """Return the range's job."""
        return self.claim.stored.job

    def stop(self) -> None:
        """Start nothing more and cancel what runs; results so far are committed."""
        self.stopped = True
        self.scope.cancel()

    async def run(self) -> None:
        """Run the open items; return when the range is done or given back."""
        self.unstarted = len(self.claim.open_offsets())
        self.failed_tries = dict(self.claim.range.failed_tries)
        self.last_sent = self.claim.kept.clock.monotonic()
        try:
            await self._run()
        except* (ranges.FencedError, lease.LapsedError):
            self.context.tally.wasted += len(self.pending)
            logger.info("Range %s was lost.", self.claim.key)
        finally:
            self._forget(len(self.pending))

    async def _run(self) -> None:
        """Run items in a scope that can be stopped, commits outside of it."""
        async with trio.open_nursery() as self.outer:
            self.outer.start_soon(self._commit_early)
            self.outer.start_soon(self._give_back)
            with self.scope:
                self.data = await self._read()
                await self._settle_started()
                if self.claim.suspect:
                    async with self.context.alone:
                        await self._run_alone()
                else:
                    await self._run_together()
            await self._commit()
            if self.claim.range.state is records.RangeState.HELD:
                await self._release()
            self.outer.cancel_scope.cancel()

    async def _read(self) -> bytes:
        """Return the lines of the range; a missing object has none."""
        kept, where = self.claim.kept, self.claim.slice
        key = self.file.object_key
        try:
            return await kept.read(
                lambda: kept.objects.get(key, start=where.start, end=where.end)
            )
        except KeyError:
            logger.error("Input %s is missing.", key)
            return b""

    async def _run_together(self) -> None:
        async with trio.open_nursery() as items:
            await self._start_all(items)

    async def _start_all(self, nursery: trio.Nursery) -> None:
        guarded = []
        for item in self._open_items():
            if self.context.idempotent(item):
                await self._start(nursery, item)
            else:
                guarded.append(item)
        for at in range(0, len(guarded), MARK_ITEMS):
            await self._start_guarded(nursery, guarded[at : at + MARK_ITEMS])

    async def _start(self, nursery: trio.Nursery, item: files.Item) -> None:
        await self._wait_until_allowed()
        turn = context.Turn(self.context.limiter)
        await turn.take()
        self.unstarted -= 1
        nursery.start_soon(self._run_item, item, turn)

    async def _start_guarded(self, nursery, items: list[files.Item]) -> None:
        """Record that items start, then send each at most once."""
        await self._outside(self._mark_started, items)
        for item in items:
            await self._start(nursery, item)

    async def _run_item(self, item: files.Item, turn: context.Turn) -> None:
        try:
            result = await self._finish(item, turn)
        finally:
            turn.give()
        self._keep(result)

    async def _run_alone(self) -> None:
        """Run suspects one at a time, each named in the row before it starts."""
        while self.context.others():
            await trio.sleep(CHECK_S)
        for item in self._open_items():
            offset = self._offset(item)
            tries = self.claim.range.alone_tries.get(offset, 0)
            if tries >= self.context.given.max_tries:
                message = f"{tries} workers were lost while it ran alone."
                self._fail(item.index, item.custom_id, "worker_lost", message)
                continue
            await self._wait_until_allowed()
            await self._outside(self._commit, offset)
            if not self.context.idempotent(item):
                await self._outside(self._mark_started, [item])
            turn = context.Turn(self.context.limiter)
            await turn.take()
            await self._run_item(item, turn)

    async def _finish(self, item: files.Item, turn: context.Turn) -> ranges.Result:
        """Try an item until it has its final outcome."""
        offset = self._offset(item)
        tries = self.failed_tries.get(offset, 0)
        waits = 0
        while True:
            try:
                answer = await self._attempt(item)
            except errors.Error as error:
                if self._counts(error):
                    tries += 1
                    self.failed_tries[offset] = tries
                if self._is_final(item, error, tries):
                    return self._failure(item, error, tries)
                self.context.tally.retried += 1
                waits += 1
                turn.give()
                await self._wait(waits, error)
                await turn.take()
                continue
            if answer is not None:
                return self._answered(item, answer)
            self.context.tally.yielded += 1
            await self._wait_until_allowed()

    def _answered(self, item: files.Item, answer: capacity.ItemResult) -> ranges.Result:
        completed = answer.status < FIRST_ERROR_STATUS
        if completed:
            self.context.tally.completed += 1
        else:
            self.context.tally.failed += 1
        line = ranges.answered(self.job, item, answer.status, answer.body)
        return ranges.Result(self._offset(item), completed, line)

    async def _attempt(self, item: files.Item) -> capacity.ItemResult | None:
        """Send an item once; None means that its slot was yielded."""
        answer = None
        sent = False
        async with self.context.gate.slot(item.model) as slot:
            if not self.context.may_start():
                return None
            sent = True
            answer = await self._send(item, slot)
        if answer is None and sent and not self.context.idempotent(item):
            raise errors.Error(errors.Kind.OUTCOME_UNKNOWN)
        return answer

    async def _send(self, item: files.Item, slot: capacity.Slot) -> capacity.ItemResult:
        """Send an item; one that may not be repeated is not interrupted."""
        shield = not self.context.idempotent(item)
        timeout = self.context.given.item_timeout_s
        self.sending += 1
        try:
            with trio.CancelScope(shield=shield) as scope:
                scope.deadline = trio.current_time() + timeout
                return await self.context.send(item, slot)
        except errors.Error:
            raise
        except Exception as error:
            logger.exception("Item %s of %s failed.", item.index, self.job.id)
            raise errors.Error(errors.Kind.INTERNAL) from error
        finally:
            self.sending -= 1
            self.last_sent = self.claim.kept.clock.monotonic()
        raise errors.Error(errors.Kind.DEADLINE_EXCEEDED)

    def _counts(self, error: errors.Error) -> bool:
        late = self.claim.kept.clock.wall() > self.job.deadline
        return late or error.kind not in PASSING

    def _is_final(self, item: files.Item, error: errors.Error, tries: int) -> bool:
        if error.kind in PERMANENT or tries >= self.context.given.max_tries:
            return True
        repeatable = self.context.idempotent(item) or error.ran is errors.Ran.NOT_RUN
        return not repeatable

    def _failure(
        self, item: files.Item, error: errors.Error, tries: int
    ) -> ranges.Result:
        code, ran = error.kind.value, error.ran.value
        if not self.context.idempotent(item) and error.ran is errors.Ran.MAY_HAVE_RUN:
            code = errors.Kind.OUTCOME_UNKNOWN.value
        message = f"{error.message} Tries: {max(1, tries)}."
        self.context.tally.failed += 1
        line = ranges.failure(self.job, item.index, item.custom_id, code, message, ran)
        return ranges.Result(self._offset(item), False, line)

    async def _settle_started(self) -> None:
        """End items that an earlier holder may have sent and must not be repeated."""
        started = int(self.claim.range.started, 16) & ~int(self.claim.range.done, 16)
        for item in self._open_items():
            if started >> self._offset(item) & 1:
                kind = errors.Kind.OUTCOME_UNKNOWN
                message = errors.ANSWERS[kind].message
                ran = errors.Ran.MAY_HAVE_RUN.value
                self._fail(item.index, item.custom_id, kind.value, message, ran)
        await self._outside(self._commit)

    def _open_items(self) -> collections.abc.Iterator[files.Item]:
        """Yield the items to run; end those whose line is not valid."""
        bad = {line.item: line for line in self.file.bad}
        open_offsets = set(self.claim.open_offsets())
        open_offsets -= {result.offset for result in self.pending}
        lines = [line for line in self.data.split(b"\n") if line.strip()]
        for offset, line in enumerate(lines[: self.claim.slice.items]):
            index = self.claim.slice.first + offset
            if offset not in open_offsets:
                continue
            if index in bad:
                reason = f"Line {bad[index].line}: {bad[index].reason}."
                kind = errors.Kind.BAD_REQUEST.value
                self._fail(index, f"line-{bad[index].line}", kind, reason)
                continue
            yield files.parse(line, index, self.job.team)
        for offset in sorted(open_offsets):
            if offset >= len(lines):
                index = self.claim.slice.first + offset
                kind = errors.Kind.INTERNAL.value
                self._fail(index, f"item-{index}", kind, "The line is missing.")

    def _offset(self, item: files.Item) -> int:
        return item.index - self.claim.slice.first

    def _fail(
        self,
        index: int,
        custom_id: str,
        code: str,
        message: str,
        ran: str = errors.Ran.NOT_RUN.value,
    ) -> None:
        line = ranges.failure(self.job, index, custom_id, code, message, ran)
        offset = index - self.claim.slice.first
        self.context.tally.failed += 1
        self._keep(ranges.Result(offset, False, line))

    def _keep(self, result: ranges.Result) -> None:
        self.pending.append(result)
        self.failed_tries.pop(result.offset, None)
        self.pending_bytes += len(result.line)
        self.context.tally.pending_bytes += len(result.line)
        if self.pending_bytes >= self.context.given.part_bytes:
            self.flush.set()

    def _forget(self, count: int) -> None:
        gone = sum(len(result.line) for result in self.pending[:count])
        del self.pending[:count]
        self.pending_bytes -= gone
        self.context.tally.pending_bytes -= gone

    async def _outside(self, step, *args) -> None:
        """Run a step that a stop must not interrupt, and wait for it."""
        done = trio.Event()

        async def run():
            await step(*args)
            done.set()

        self.outer.start_soon(run)
        await done.wait()

    async def _mark_started(self, items: list[files.Item]) -> None:
        async with self.lock:
            await self.claim.mark_started([self._offset(item) for item in items])

    async def _release(self) -> None:
        async with self.lock:
            await self.claim.release()

    async def _commit(self, alone: int | None = None) -> None:
        async with self.lock:
            results = list(self.pending)
            tried = self.failed_tries != self.claim.range.failed_tries
            if results or tried or alone is not None:
                await self.claim.commit(results, dict(self.failed_tries), alone=alone)
                self._forget(len(results))

    async def _commit_early(self) -> None:
        """Commit parts while items run, so that a lost worker wastes little."""
        while True:
            with trio.move_on_after(self.context.given.part_s):
                await self.flush.wait()
            self.flush = trio.Event()
            await self._commit()

    async def _give_back(self) -> None:
        """Stop when this host finds no capacity, so that another may try."""
        while True:
            await trio.sleep(IDLE_RANGE_S / 3)
            idle_s = self.claim.kept.clock.monotonic() - self.last_sent
            waiting = not self.sending and not self.claim.suspect
            if waiting and idle_s > IDLE_RANGE_S and self.context.may_start():
                logger.info("Range %s is given back.", self.claim.key)
                self.stop()

    async def abandon(self) -> None:
        """Give the range back after an unexpected error."""
        try:
            await self._release()
        except (ranges.FencedError, lease.LapsedError):
            logger.info("Range %s was lost.", self.claim.key)

    async def _wait_until_allowed(self) -> None:
        while not self.context.may_start():
            if self.pending:
                self.flush.set()
            await trio.sleep(CHECK_S)
        await trio.lowlevel.checkpoint()

    async def _wait(self, waits: int, error: errors.Error) -> None:
        most = min(WAIT_MAX_S, WAIT_MIN_S * 2 ** min(waits, 10))
        pause = self.context.rng.uniform(0.0, most)
        least = UNKNOWN_WAIT_S if error.kind in UNKNOWN else error.retry_after_s or 0.0
        await trio.sleep(max(pause, min(least, WAIT_MAX_S)))
        await self._wait_until_allowed()
