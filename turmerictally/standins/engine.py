"""Stand in for a model engine that batches continuously."""

import base64
import binascii
import collections
import collections.abc
import json

import attrs
import trio

from turmerictally.standins import cache, tokens

HISTORY = 4096  # finished sequences kept for resumption
RECEIVED = 20_000  # requests kept for tests


@attrs.define
class Options:
    """Set an engine's speed and memory; times are in seconds, sizes in tokens."""

    models: tuple[str, ...] = ("small",)
    capacity: int = 16
    max_waiting: int = 1000
    kv_tokens: int = 64_000
    step_s: float = 0.02
    step_per_sequence_s: float = 0.001
    prefill_per_token_s: float = 0.0002
    load_lag_s: float = 0.5
    event_lag_s: float = 0.5
    event_gap: float = 0.05
    load_model_s: float = 0.0
    checks_fencing: bool = True
    seed: int = 0


@attrs.define
class Faults:
    """Hold the faults in force; all may change at run time.

    ``cut_after`` ends each stream after that many tokens. ``cross`` and
    ``duplicate`` count the answers still to be given another request's identity,
    or to be sent twice. ``delay_s`` holds back finished answers.
    """

    frozen: bool = False
    crashed: bool = False
    cut_after: int | None = None
    cross: int = 0
    duplicate: int = 0
    delay_s: float = 0.0
    slow_factor: float = 1.0


@attrs.define
class Order:
    """Hold one order to load, unload or change role."""

    fence: int
    order_id: str
    action: str
    name: str = ""
    version: str = ""


@attrs.frozen
class Load:
    """Report load; ``kv_used_ratio`` is from 0 to 1."""

    running: int
    waiting: int
    batch_running: int
    capacity: int
    kv_used_ratio: float


@attrs.define(eq=False)
class Sequence:
    """Hold one request's generation."""

    request_id: str
    model: str
    prompt: tuple[str, ...]
    max_tokens: int
    seed: int = 0
    is_batch: bool = False
    ignore_eos: bool = False
    generated: list[str] = attrs.Factory(list)
    cached: int = 0
    imported: bool = False
    queued: bool = False
    finish_reason: str | None = None
    changed: trio.Event = attrs.Factory(trio.Event)

    @property
    def key(self) -> str:
        """Return what the text depends on."""
        return tokens.answer_key(self.model, self.seed, self.prompt)

    @property
    def size(self) -> int:
        """Return the tokens of KV memory in use."""
        return len(self.prompt) + len(self.generated)

    def notify(self) -> None:
        """Wake the readers."""
        self.changed.set()
        self.changed = trio.Event()


class CrashedError(Exception):
    """Report that the engine stopped while a request ran."""


class OverloadedError(Exception):
    """Report that the waiting queue or the memory cannot take a request."""


class StaleFenceError(Exception):
    """Report that an order's fencing number is older than the engine's."""


class Engine:
    """Run sequences in steps; every step gives each running one a token."""

    def __init__(self, options: Options | None = None, instance: str = "e0") -> None:
        self.options = options or Options()
        self.instance = instance
        self.faults = Faults()
        self.leaving = False
        self.role = "any"
        self.fence = 0
        self.last_order_id = ""
        self.orders: list[Order] = []
        self.models = dict.fromkeys(self.options.models, "1")
        self.waiting: collections.deque[Sequence] = collections.deque()
        self.running: list[Sequence] = []
        self.sequences: collections.OrderedDict[str, Sequence] = (
            collections.OrderedDict()
        )
        options = self.options
        self.cache = cache.PrefixCache(
            options.event_lag_s, options.event_gap, options.seed
        )
        self.executions: collections.Counter[str] = collections.Counter()
        self.classes: collections.Counter[str] = collections.Counter()
        self.started_leaving: list[tuple[float, str]] = []
        self.received: collections.deque = collections.deque(maxlen=RECEIVED)
        self.loads: collections.deque[tuple[float, Load]] = collections.deque()
        self.steps = 0
        self.generated_tokens = 0
        self.wanted = trio.Event()

    async def run(self) -> None:
        """Step for ever."""
        while True:
            if self.faults.frozen or not (self.running or self.waiting):
                await self.wanted.wait()
                self.wanted = trio.Event()
                continue
            await trio.sleep(self._admit())
            if not self.faults.frozen:
                self._step()

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence, first come first served."""
        if len(self.waiting) >= self.options.max_waiting:
            raise OverloadedError("the waiting queue is full")
        if len(sequence.prompt) + sequence.max_tokens > self.options.kv_tokens:
            raise OverloadedError("the prompt does not fit in memory")
        previous = self.sequences.get(sequence.request_id)
        if previous is not None and previous is not sequence:
            self.cancel(sequence.request_id)
        self.executions[sequence.request_id] += 1
        self.classes["batch" if sequence.is_batch else "online"] += 1
        if self.leaving:
            now = trio.current_time()
            self.started_leaving.append((now, sequence.request_id))
        self._remember(sequence)
        self._queue(sequence)

    def resume(self, request_id: str, offset: int) -> Sequence | None:
        """Return a known sequence that has or will have token ``offset``."""
        sequence = self.sequences.get(request_id)
        if sequence is None:
            return None
        if not sequence.queued and sequence.finish_reason is None:
            self._queue(sequence)
        return sequence

    async def read(
        self, sequence: Sequence, start: int = 0
    ) -> collections.abc.AsyncIterator[tuple[int, str]]:
        """Yield ``(offset, token)`` as they are generated; stop at the end."""
        offset = start
        while True:
            while offset < len(sequence.generated):
                yield offset, sequence.generated[offset]
                offset += 1
            if sequence.finish_reason == "crashed":
                raise CrashedError
            if sequence.finish_reason is not None:
                return
            await sequence.changed.wait()

    def cancel(self, request_id: str) -> bool:
        """Stop a sequence; tell whether it was unfinished."""
        sequence = self.sequences.get(request_id)
        if sequence is None or sequence.finish_reason is not None:
            return False
        self._finish(sequence, "cancelled")
        return True

    def crash(self, instance: str) -> None:
        """Lose every sequence and the cache, and come back as a new instance."""
        for sequence in [*self.running, *self.waiting]:
            self._finish(sequence, "crashed")
        self.sequences.clear()
        self.cache.clear()
        self.loads.clear()
        self.models = dict.fromkeys(self.options.models, "1")
        self.fence = 0
        self.instance = instance

    def freeze(self, frozen: bool = True) -> None:
        """Stop or restart stepping."""
        self.faults.frozen = frozen
        self.wanted.set()

    def load(self) -> Load:
        """Return the load as it is now."""
        used = sum(sequence.size for sequence in self.running)
        return Load(
            running=len(self.running),
            waiting=len(self.waiting),
            batch_running=sum(sequence.is_batch for sequence in self.running),
            capacity=self.options.capacity,
            kv_used_ratio=min(1.0, used / self.options.kv_tokens),
        )

    def reported_load(self) -> Load:
        """Return the load as it was ``load_lag_s`` ago."""
        horizon = trio.current_time() - self.options.load_lag_s
        while len(self.loads) > 1 and self.loads[1][0] <= horizon:
            self.loads.popleft()
        if self.loads and self.loads[0][0] <= horizon:
            return self.loads[0][1]
        return Load(0, 0, 0, self.options.capacity, 0.0)

    async def apply(self, order: Order) -> None:
        """Carry out an order, refusing an old fencing number when it checks."""
        self.orders.append(order)
        if self.options.checks_fencing and order.fence < self.fence:
            raise StaleFenceError
        self.fence = max(self.fence, order.fence)
        if order.action == "load":
            await trio.sleep(self.options.load_model_s)
            self.models[order.name] = order.version
        elif order.action == "unload":
            self.models.pop(order.name, None)
        else:
            self.role = order.name
        self.last_order_id = order.order_id

    def export(self, request_id: str) -> tuple[str, list[str]] | None:
        """Return a sequence's KV cache, opaque, and its tokens; it stops here."""
        sequence = self.sequences.get(request_id)
        if sequence is None:
            return None
        self.cancel(request_id)
        state = {
            "model": sequence.model,
            "prompt": sequence.prompt,
            "max_tokens": sequence.max_tokens,
            "ignore_eos": sequence.ignore_eos,
            "seed": sequence.seed,
            "is_batch": sequence.is_batch,
            "generated": sequence.generated,
        }
        packed = base64.b64encode(json.dumps(state).encode()).decode()
        return packed, list(sequence.generated)

    def import_kv(self, request_id: str, kv: str) -> Sequence:
        """Keep an exported sequence, to run on when it is resumed.

        Raises ``ValueError`` for what is no export.
        """
        try:
            state = json.loads(base64.b64decode(kv, validate=True))
            state["prompt"] = tuple(state["prompt"])
            sequence = Sequence(request_id=request_id, imported=True, **state)
        except (binascii.Error, TypeError, KeyError) as error:
            raise ValueError("not an export") from error
        self._remember(sequence)
        return sequence

    def _queue(self, sequence: Sequence) -> None:
        sequence.queued = True
        self.waiting.append(sequence)
        self._report()
        self.wanted.set()

    def _remember(self, sequence: Sequence) -> None:
        self.sequences.pop(sequence.request_id, None)
        self.sequences[sequence.request_id] = sequence
        if len(self.sequences) > HISTORY:
            oldest = next(iter(self.sequences.values()))
            if oldest.finish_reason is not None:
                del self.sequences[oldest.request_id]

    def _admit(self) -> float:
        prefill = 0
        while self.waiting and len(self.running) < self.options.capacity:
            sequence = self.waiting[0]
            used = sum(other.size for other in self.running)
            if self.running and used + sequence.size > self.options.kv_tokens:
                break
            self.waiting.popleft()
            prefill += self._prefill(sequence)
            self.running.append(sequence)
        duration = (
            self.options.step_s
            + self.options.step_per_sequence_s * len(self.running)
            + self.options.prefill_per_token_s * prefill
        )
        self._report()
        return duration * self.faults.slow_factor

    def _prefill(self, sequence: Sequence) -> int:
        hashes = tokens.prefix_hashes(sequence.model, sequence.prompt)
        sequence.cached = self.cache.match(hashes)
        self.cache.store(hashes)
        if sequence.imported:
            return 0
        return sequence.size - sequence.cached

    def _step(self) -> None:
        self.steps += 1
        for sequence in list(self.running):
            self._advance(sequence)
        self._limit_memory()
        self._report()

    def _advance(self, sequence: Sequence) -> None:
        index = len(sequence.generated)
        natural = tokens.answer_length(sequence.key)
        if sequence.ignore_eos:
            natural = sequence.max_tokens + 1
        if index < min(natural, sequence.max_tokens):
            sequence.generated.append(tokens.answer_token(sequence.key, index))
            self.generated_tokens += 1
            index += 1
        if index >= min(natural, sequence.max_tokens):
            self._finish(sequence, "stop" if index >= natural else "length")
        sequence.notify()

    def _limit_memory(self) -> None:
        used = sum(sequence.size for sequence in self.running)
        while used > self.options.kv_tokens and len(self.running) > 1:
            youngest = self.running.pop()
            used -= youngest.size
            self.waiting.appendleft(youngest)
        self.cache.shrink(max(0, self.options.kv_tokens - used))

    def _finish(self, sequence: Sequence, reason: str) -> None:
        sequence.finish_reason = reason
        if sequence in self.running:
            self.running.remove(sequence)
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        sequence.notify()
        self._report()

    def _report(self) -> None:
        self.loads.append((trio.current_time(), self.load()))
        if len(self.loads) > RECEIVED:
            self.loads.popleft()
