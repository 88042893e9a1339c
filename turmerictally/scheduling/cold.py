"""Bound what all hosts together send to servers that warm up, without a message.

A server's rate is cut into permits of one send a period each. Each permit belongs to
the host that ranks first for it among the hosts that it knows; two hosts that know each
other never hold the same one.
"""

import collections
import collections.abc
import hashlib

import attrs

# Between two sends of one permit: more than the second for which sends are summed, by
# what links and busy hosts delay one send more than the next.
PERIOD_S = 1.05
# A host's row is in all copies that are younger than the row. Several reads of the rows
# by 400 hosts, each 4 s apart, so that cut-off hosts go on for some seconds.
SETTLED_S = 12.0
VIEW_MARGIN_S = 1.0  # for the time of the calls that read and write rows
# A row that was renewed this lately is not deleted, which takes two minutes.
RENEWED_S = 60.0
VIEW_S = 0.25  # between two looks at the hosts; a row counts only after seconds
# A server that says more is not believed: no process takes longer to warm up, and one
# faulty row must not keep a server out for good.
MAX_COLD_S = 60.0
MAX_BIRTHS = 2000  # servers whose births are remembered, the newest
RANK_BYTES = 4  # of a digest for each permit
DIGEST_BYTES = 64


@attrs.frozen
class View:
    """Hold which hosts have rows, and how long ago that and the own row were true.

    ``age_s`` is the copy's age; the own row was first written ``own_age_s`` ago by this
    process and renewed ``renewed_age_s`` ago.
    """

    hosts: frozenset[str] = frozenset()
    age_s: float = float("inf")
    own_age_s: float = 0.0
    renewed_age_s: float = float("inf")

    def is_settled(self, host: str) -> bool:
        """Return whether a host that acts now has the other's row in its view."""
        return (
            host in self.hosts
            and self.own_age_s >= SETTLED_S
            and self.age_s < SETTLED_S - VIEW_MARGIN_S
            and self.renewed_age_s < RENEWED_S
        )


@attrs.define(eq=False)
class Cold:
    """Hold one cold server: its deadlines and what this host sends there.

    ``until`` and ``usable_from`` are monotonic seconds; ``reserved`` counts sends that
    were decided on and wait for their connection.
    """

    until: float
    usable_from: float
    reserved: int = 0
    sent: int = 0
    sent_at: collections.deque[float] = attrs.Factory(collections.deque)
    permits_of: tuple[frozenset[str], int] | None = None
    permits: int = 0


@attrs.define(eq=False)
class Budgets:
    """Hold this host's share of what each cold server bears.

    ``rate_of`` returns a server's requests a second over all hosts, 0 for no bound;
    ``overshoot`` is the factor by which that may be exceeded.
    """

    host: str = ""
    rate_of: collections.abc.Callable[[str], float] = lambda server: 0.0
    view: collections.abc.Callable[[], View] = View
    overshoot: float = 1.0
    cold: dict[str, Cold] = attrs.Factory(dict)
    births: dict[str, int] = attrs.Factory(dict)
    viewed: View = attrs.field(factory=View)
    viewed_at: float = float("-inf")

    def is_new(self, server: str, born_ms: int) -> bool:
        """Return whether a registration is of a start not seen before, and note it."""
        before = self.births.pop(server, None)
        self.births[server] = born_ms
        if len(self.births) > MAX_BIRTHS:
            del self.births[next(iter(self.births))]
        return before != born_ms

    def note(self, server: str, seconds: float, now: float, *, in_use: bool) -> bool:
        """Count a server as cold for this long; return whether it was not before.

        One that was ``in_use`` until now gets nothing for a period.
        """
        if not seconds > 0:
            return False
        until = now + min(seconds, MAX_COLD_S)
        found = self.cold.get(server)
        if found is not None and now < found.until:
            found.until = max(found.until, until)
            return False
        self.cold[server] = Cold(until, now + PERIOD_S if in_use else now)
        return True

    def is_cold(self, server: str, now: float) -> bool:
        """Return whether a bound holds for a server."""
        found = self.cold.get(server)
        return found is not None and now < found.until and self.rate_of(server) > 0

    def allows(self, server: str, now: float) -> bool:
        """Return whether one more request may go to a server now."""
        if not self.is_cold(server, now):
            return True
        found = self.cold[server]
        if now < found.usable_from:
            return False
        return self._used(server, found, now, 1) < self.permits(server, now)

    def is_idle(self, server: str, now: float) -> bool:
        """Return whether no request took a permit for a cold server for a while."""
        found = self.cold[server]
        return now >= found.usable_from and not self._used(server, found, now, 2)

    def spend(self, server: str, now: float) -> None:
        """Reserve a permit for a request that is about to be sent."""
        if server in self.cold:
            self.cold[server].reserved += 1

    def send(self, server: str, now: float) -> None:
        """Note that a request with a reserved permit is sent, or given up."""
        found = self.cold.get(server)
        if found is not None and found.reserved:
            found.reserved -= 1
            found.sent += 1
            found.sent_at.append(now)

    def permits(self, server: str, now: float) -> int:
        """Return how many of a cold server's permits belong to this host."""
        found = self.cold[server]
        if now >= self.viewed_at + VIEW_S:
            self.viewed, self.viewed_at = self.view(), now
        if not self.viewed.is_settled(self.host):
            return 0
        wanted = self.viewed.hosts, self._permits_of_all(server)[0]
        if found.permits_of != wanted:
            found.permits_of = wanted
            found.permits = count_owned(server, self.host, *wanted)
        return found.permits

    def expire(self, now: float) -> list[tuple[str, Cold]]:
        """Drop the servers that have warmed up and return them."""
        over = [(name, each) for name, each in self.cold.items() if now >= each.until]
        for name, _ in over:
            del self.cold[name]
        return over

    def _used(self, server: str, found: Cold, now: float, periods: int) -> int:
        period_s = self._permits_of_all(server)[1]
        while found.sent_at and found.sent_at[0] <= now - 2 * period_s:
            found.sent_at.popleft()
        since = now - periods * period_s
        return found.reserved + sum(at > since for at in found.sent_at)

    def _permits_of_all(self, server: str) -> tuple[int, float]:
        """Return the permits for a server over all hosts, and their period."""
        rate = self.rate_of(server) * self.overshoot
        if rate >= 1:
            return int(rate), PERIOD_S
        return 1, PERIOD_S / rate if rate > 0 else float("inf")


def count_owned(
    server: str, host: str, hosts: collections.abc.Iterable[str], permits: int
) -> int:
    """Return for how many of a server's permits a host ranks first."""
    per_digest = DIGEST_BYTES // RANK_BYTES
    count = 0
    for first in range(0, permits, per_digest):
        own = _ranks(server, host, first)
        left = list(range(min(per_digest, permits - first)))
        for other in hosts:
            if not left:
                break
            if other == host:
                continue
            ranks = _ranks(server, other, first)
            left = [n for n in left if (own[n], host) > (ranks[n], other)]
        count += len(left)
    return count


def _ranks(server: str, host: str, first: int) -> list[bytes]:
    digest = hashlib.blake2b(f"{server}/{first}/{host}".encode()).digest()
    return [digest[n : n + RANK_BYTES] for n in range(0, DIGEST_BYTES, RANK_BYTES)]
