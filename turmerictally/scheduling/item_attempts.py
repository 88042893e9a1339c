"""Count the failed attempts of batch items, over all owners of their jobs.

An item may fail a number of times before it is given up, whichever hosts own its job
meanwhile. Each ownership counts the failures that it saw, which only increase, so that
counts from any source merge to the highest one of each ownership. Two owners that live
at once don't overwrite each other, and no failure counts twice.
"""

import collections.abc
import itertools

import attrs

# Before the names of a job and an item in digests, where other versions of hosts
# ignore them.
DIGEST_PREFIX = "failed attempts of "
SEPARATOR = "\n"  # of job and item in such a name; no id holds it
# For how long a digest tells of a failure that is saved; digests are sent several
# times meanwhile.
REPORT_S = 3.0
MAX_REPORTED = 32  # items in one digest, of at most 300 bytes each
MAX_ITEMS = 10_000  # remembered; the oldest job is evicted first


@attrs.frozen
class Attempts:
    """Hold an item's failed attempts by the ownership of its job in which they failed.

    ``impossible`` is whether a server answered that the item can never be done.
    """

    errors: dict[int, int] = attrs.Factory(dict)
    impossible: bool = False

    @property
    def total(self) -> int:
        """Return how many attempts failed."""
        return sum(self.errors.values())

    def with_error(self, ownership: int) -> "Attempts":
        """Return these attempts and one that failed in an ownership."""
        count = self.errors.get(ownership, 0) + 1
        return attrs.evolve(self, errors=self.errors | {ownership: count})

    def merge(self, other: "Attempts") -> "Attempts":
        """Return what both know."""
        errors = {
            ownership: max(
                self.errors.get(ownership, 0), other.errors.get(ownership, 0)
            )
            for ownership in self.errors | other.errors
        }
        return Attempts(errors, self.impossible or other.impossible)

    def is_exhausted(self, max_attempts: float) -> bool:
        """Return whether the item must not run again."""
        return self.impossible or 0 < self.total >= max_attempts


NONE = Attempts()


@attrs.define(eq=False)
class AttemptLog:
    """Hold the failed attempts of the items of open jobs that this host knows of.

    ``item_count`` is that of all jobs. ``reported_until`` holds, for what this
    host saw itself, the monotonic time until which digests tell of it.
    """

    by_job: dict[str, dict[str, Attempts]] = attrs.Factory(dict)
    item_count: int = 0
    reported_until: dict[tuple[str, str], float] = attrs.Factory(dict)

    def find(self, job: str, item: str) -> Attempts:
        """Return what is known of an item."""
        return self.by_job.get(job, {}).get(item, NONE)

    def total(self, job: str) -> int:
        """Return how many attempts of a job's items are known to have failed."""
        return sum(known.total for known in self.by_job.get(job, {}).values())

    def record_error(self, job: str, item: str, ownership: int, now: float) -> Attempts:
        """Record that an attempt of this host failed."""
        return self._record(job, item, self.find(job, item).with_error(ownership), now)

    def record_impossible(self, job: str, item: str, now: float) -> Attempts:
        """Record that an item can never be done."""
        impossible = attrs.evolve(self.find(job, item), impossible=True)
        return self._record(job, item, impossible, now)

    def _record(self, job: str, item: str, attempts: Attempts, now: float) -> Attempts:
        self._keep(job, item, attempts)
        # The newest come last.
        self.reported_until.pop((job, item), None)
        self.reported_until[job, item] = now + REPORT_S
        return attempts

    def merge(self, job: str, item: str, attempts: Attempts) -> bool:
        """Add what another host or a row tells; return whether any of it is new."""
        known = self.find(job, item)
        merged = known.merge(attempts)
        if merged == known:
            return False
        self._keep(job, item, merged)
        return True

    def report_again(self, job: str, now: float) -> None:
        """Let digests tell of a job's items again, for one that lost its owner."""
        for key in self.reported_until:
            if key[0] == job:
                self.reported_until[key] = now + REPORT_S

    def forget(self, job: str) -> None:
        """Forget a job that has ended."""
        for item in self.by_job.pop(job, ()):
            self.item_count -= 1
            self.reported_until.pop((job, item), None)

    def _keep(self, job: str, item: str, attempts: Attempts) -> None:
        by_item = self.by_job.setdefault(job, {})
        self.item_count += item not in by_item
        by_item[item] = attempts
        while self.item_count > MAX_ITEMS and len(self.by_job) > 1:
            self.forget(next(iter(self.by_job)))

    def report(
        self, unsaved: collections.abc.Container[tuple[str, str]], now: float
    ) -> dict[str, list[int]]:
        """Return what digests tell: recent failures, and those that are not saved."""
        for key, until in list(self.reported_until.items()):
            if now >= until and key not in unsaved:
                del self.reported_until[key]
        newest = itertools.islice(reversed(self.reported_until), MAX_REPORTED)
        return {digest_name(*key): _encode(self.find(*key)) for key in newest}


def digest_name(job: str, item: str) -> str:
    """Return the name under which a digest tells of an item's failed attempts."""
    return f"{DIGEST_PREFIX}{job}{SEPARATOR}{item}"


def read_digest(name: str, values: list[int]) -> tuple[str, str, Attempts] | None:
    """Return the job, the item and the attempts of an entry, None if it is another."""
    if not name.startswith(DIGEST_PREFIX):
        return None
    job, separator, item = name.removeprefix(DIGEST_PREFIX).partition(SEPARATOR)
    if not (job and separator and item) or len(values) % 2 != 1 or min(values) < 0:
        return None
    impossible, *pairs = values
    errors = dict(zip(pairs[::2], pairs[1::2], strict=True))
    return job, item, Attempts(errors, bool(impossible))


def _encode(attempts: Attempts) -> list[int]:
    """Return whether the item is impossible, then ownerships and their errors."""
    pairs = itertools.chain.from_iterable(attempts.errors.items())
    return [int(attempts.impossible), *pairs]
