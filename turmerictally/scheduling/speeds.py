"""Learn how fast each backend server is from answers that pass through anyway."""

import collections
import collections.abc
import math

import attrs

# What a host saw of a server counts for so long. A disturbance of half a second leaves
# some of it as it was, and a server that turned slow shows soon after.
WINDOW_S = 1.0
TELL_S = 0.25  # between two digests that hold entries
NEWS_S = 0.5  # a server without an observation for this long is not told
KEEP_S = 1.2  # entries of other hosts count for so long after they came
OBSERVED_S = 0.25  # of events make an observation; several in a usual answer
MAX_TOLD = 16  # servers in a digest, some 500 bytes
MIN_OBSERVATIONS = 3  # of all hosts; fewer leave a server's slowness as it was
# Without new observations for this long, an estimate is to be tested.
STALE_S = 3.0
MIN_TEST_OBSERVATIONS = 2  # that replace a stale estimate: those of one answer
# Part of the hosts' entries that are faster than a server's pace: what is slow for a
# moment only is not seen by all of them.
PACE_QUANTILE = 0.25
# Paces within this ratio of the usual one differ by chance.
USUAL_RATIO = 1.3
MAX_SLOWNESS = 10.0
REVIEW_S = 0.5  # between two estimates, which go through the entries of all hosts
MAX_REVIEWS = 16  # that are kept, one for each service and set of its servers
HALF = 0.5  # of the values are below a median


@attrs.frozen
class Evidence:
    """Hold what one host saw of a server lately.

    ``count`` is how often events were timed, ``event_s`` the least time between two
    of them, and ``first_s`` the time to the first event where a slot was free, both in
    seconds, 0 when unknown.
    """

    count: int
    first_s: float
    event_s: float

    def told(self) -> list[float]:
        """Return the entry of a digest."""
        return [self.count, round(self.first_s, 3), round(self.event_s, 5)]


@attrs.frozen
class Learned:
    """Hold what is expected of a server.

    ``slowness`` is 1.0 when usual and 2.0 when it takes twice as long; ``hosts``
    counts the entries behind it, 0 when unknown, ``at`` is when they last sufficed
    (monotonic).
    """

    slowness: float = 1.0
    first_s: float = 0.0
    event_s: float = 0.0
    hosts: int = 0
    at: float = 0.0

    def age_s(self, now: float) -> float:
        """Return how long ago this was learned, 0 when nothing was."""
        return now - self.at if self.hosts else 0.0

    def is_stale(self, now: float) -> bool:
        """Return whether a request should test this again."""
        return self.age_s(now) >= STALE_S


USUAL = Learned()


@attrs.define
class Meter:
    """Turn the events of one answer into observations of its server's speed."""

    server: str
    note: collections.abc.Callable[[str, int, float], None]
    events: int = 0
    since: float = math.inf

    def add(self, events: int, now: float) -> bool:
        """Take events that came now; return whether they are the first."""
        if self.since == math.inf:
            # How long these took is the time to the first event.
            self.since = now
            return True
        self.events += events
        if now >= self.since + OBSERVED_S:
            self.note(self.server, self.events, now - self.since)
            self.events, self.since = 0, now
        return False


@attrs.define
class Own:
    """Keep this host's observations of one server, with their monotonic times."""

    firsts: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )
    paces: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )
    newest: float = -math.inf

    def evidence(self, now: float) -> Evidence:
        """Return what is younger than ``WINDOW_S``."""
        for kept in (self.firsts, self.paces):
            while kept and kept[0][0] <= now - WINDOW_S:
                kept.popleft()
        firsts = [seconds for _, seconds in self.firsts]
        return Evidence(
            count=len(self.paces),
            first_s=min(firsts, default=0.0),
            event_s=min((pace for _, pace in self.paces), default=0.0),
        )


@attrs.define(eq=False)
class Speeds:
    """Combine this host's observations with those that other hosts tell."""

    own: dict[str, Own] = attrs.Factory(dict)
    heard: dict[str, dict[str, tuple[list[float], float]]] = attrs.Factory(dict)
    known: dict[str, Learned] = attrs.Factory(dict)
    reviews: dict[tuple[str, ...], tuple[float, dict[str, Learned]]] = attrs.Factory(
        dict
    )
    tell_due: float = -math.inf

    def note_first(self, server: str, seconds: float, now: float) -> None:
        """Note the time to a first event at a server that had a free slot."""
        own = self.own.setdefault(server, Own())
        own.firsts.append((now, seconds))
        own.newest = now

    def note_events(self, server: str, events: int, seconds: float, now: float) -> None:
        """Note the seconds that a server took for so many events."""
        if events <= 0 or seconds <= 0.0:
            return
        own = self.own.setdefault(server, Own())
        own.paces.append((now, seconds / events))
        own.newest = now

    def tell(self, now: float) -> dict[str, list[float]]:
        """Return the digest's entries: the servers with the newest observations.

        Between two times that they are told, none are: counts are told more often.
        """
        if now < self.tell_due:
            return {}
        self.tell_due = now + TELL_S
        news = [name for name, own in self.own.items() if now - own.newest < NEWS_S]
        news.sort(key=lambda name: self.own[name].newest, reverse=True)
        return {name: self.own[name].evidence(now).told() for name in news[:MAX_TOLD]}

    def take(self, host: str, told: dict[str, list[float]], now: float) -> None:
        """Take the entries of another host's digest."""
        for server, entry in told.items():
            found = self.heard.get(server)
            if found is None:
                found = self.heard[server] = {}
            found[host] = entry, now

    def forget(self, server: str) -> None:
        """Drop what is known of a server that is gone or was started again."""
        for kept in (self.own, self.heard, self.known):
            kept.pop(server, None)
        self.reviews.clear()

    def retain(self, servers: collections.abc.Collection[str]) -> None:
        """Drop the servers that are not among these."""
        held = self.own.keys() | self.heard.keys() | self.known.keys()
        for name in held - set(servers):
            self.forget(name)

    def learned(
        self, servers: collections.abc.Sequence[str], now: float
    ) -> dict[str, Learned]:
        """Return what is expected of each of one service's servers."""
        names = tuple(servers)
        at, found = self.reviews.get(names, (-math.inf, {}))
        if now < at + REVIEW_S:
            return found
        if len(self.reviews) >= MAX_REVIEWS:
            self.reviews.clear()
        found = self._review(names, now)
        self.reviews[names] = now, found
        return found

    def _review(self, servers: tuple[str, ...], now: float) -> dict[str, Learned]:
        sure = {}
        for name in servers:
            entries = self._entries(name, now)
            if sum(count for count, _, _ in entries) >= self._least(name, now):
                sure[name] = entries
        paces = {name: _low(pace for *_, pace in sure[name] if pace) for name in sure}
        before = {n: self.known[n].event_s for n in servers if n in self.known}
        usual = _quantile(list((before | paces).values()), HALF)
        for name, entries in sure.items():
            self.known[name] = Learned(
                slowness=_slowness(paces[name], usual),
                first_s=_low(first_s for _, first_s, _ in entries if first_s),
                event_s=paces[name],
                hosts=len(entries),
                at=now,
            )
        return {name: self.known.get(name, USUAL) for name in servers}

    def _least(self, server: str, now: float) -> int:
        """Return how many observations make a new estimate."""
        stale = self.known.get(server, USUAL).is_stale(now)
        return MIN_TEST_OBSERVATIONS if stale else MIN_OBSERVATIONS

    def _entries(self, server: str, now: float) -> list[list[float]]:
        """Return what hosts saw of a server lately, as digests hold it."""
        since = now - KEEP_S
        heard = self.heard.get(server, {})
        found = [entry for entry, at in heard.values() if at > since]
        if len(found) < len(heard):
            self.heard[server] = {h: e for h, e in heard.items() if e[1] > since}
        own = self.own.get(server)
        if own is not None and own.newest > since:
            found.append(own.evidence(now).told())
        elif own is not None:
            del self.own[server]
        return found


def _low(values: collections.abc.Iterable[float]) -> float:
    return _quantile(list(values), PACE_QUANTILE)


def _slowness(pace: float, usual: float) -> float:
    ratio = pace / usual
    if 1 / USUAL_RATIO <= ratio <= USUAL_RATIO:
        return 1.0
    return min(MAX_SLOWNESS, max(1 / MAX_SLOWNESS, ratio))


def _quantile(values: collections.abc.Sequence[float], part: float) -> float:
    """Return the value that so many others are below, 0.0 of none."""
    if not values:
        return 0.0
    return sorted(values)[int(part * (len(values) - 1) + HALF)]
