"""Hold one host's copy of the configuration and how fresh it is."""

import collections
import collections.abc
import logging

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally.config import model

logger = logging.getLogger(__name__)

RECENT_CHANGES = 512
# Bound on how far two hosts' monotonic clocks may run apart.
DRIFT_RATIO = 0.01


@attrs.frozen
class Known:
    """Hold a change and when this host learned it, on its monotonic clock.

    ``team`` is the team that it concerns alone, or empty.
    """

    change: model.Change
    learned_at: float
    team: str


Listener = collections.abc.Callable[[model.View, model.View], None]


class Replica:
    """Hold an immutable view that only moves to higher versions.

    ``freshness`` is an instant, on the local monotonic clock, at which ``view`` was
    the newest version; it is None until that was learned once.
    """

    def __init__(self, clock: clocks.Clock, max_staleness_s: float) -> None:
        self.clock = clock
        self.max_staleness_s = max_staleness_s
        self.view = model.View()
        self.freshness: float | None = None
        self.recent: collections.deque[Known] = collections.deque(maxlen=RECENT_CHANGES)
        self.adopted_version = 0
        self.adopted_at = 0.0
        self.listeners: list[Listener] = []
        self.event = trio.Event()

    def subscribe(self, listener: Listener) -> None:
        """Call ``listener(old, new)`` in the same step as each move."""
        self.listeners.append(listener)

    async def changed(self, version: int) -> model.View:
        """Wait until the view is newer than ``version`` and return it."""
        while self.view.version <= version:
            await self.event.wait()
        return self.view

    def apply(self, changes: collections.abc.Iterable[model.Change]) -> bool:
        """Apply what directly follows the view; return False at a gap."""
        following = []
        complete = True
        for change in changes:
            if change.version <= self.view.version + len(following):
                continue
            if change.version != self.view.version + len(following) + 1:
                complete = False
                break
            following.append(change)
        if following:
            self._extend(following)
        return complete

    def adopt(self, view: model.View) -> bool:
        """Take over a whole view if it is newer."""
        if view.version <= self.view.version:
            return False
        self.recent.clear()
        self.adopted_version = view.version
        self.adopted_at = self.clock.monotonic()
        self._move(view)
        return True

    def confirm(self, version: int, at: float) -> None:
        """Note that ``version`` was the newest at local monotonic time ``at``."""
        if version != self.view.version:
            return
        if self.freshness is None or at > self.freshness:
            self.freshness = at

    def age(self) -> float | None:
        """Return the age of the freshness in seconds, or None when unknown."""
        if self.freshness is None:
            return None
        return self.clock.monotonic() - self.freshness

    def stale_at(self, team: str = "") -> float | None:
        """Return when serving on the view must end, or None when it may not begin."""
        if self.freshness is None:
            return None
        return self.freshness + self.staleness_limit(team)

    def is_stale(self, team: str = "") -> bool:
        """Tell whether the view is too old to serve a team, or any team."""
        stale_at = self.stale_at(team)
        return stale_at is None or self.clock.monotonic() >= stale_at

    def staleness_limit(self, team: str = "") -> float:
        """Return the staleness limit of a team, or the default, in seconds."""
        contract = self.view.contracts.get(team)
        if contract is None or contract.max_staleness_s is None:
            return self.max_staleness_s
        return min(contract.max_staleness_s, self.max_staleness_s)

    def lapses_at(self, version: int) -> float:
        """Return when no host may still serve as if a change had not been made.

        A host confirmed its freshness before the commit at the latest, and this
        host learned the change after it. The limit of a team that alone is concerned
        counts once every host that may serve knows that limit.
        """
        margin = 1 + DRIFT_RATIO
        limit = self.max_staleness_s
        team = next((k.team for k in self.recent if k.change.version == version), "")
        contract = self.view.object_version(model.ItemKind.CONTRACT, team)
        if contract and contract != version:
            known_at = self.learned_at(contract) + limit * margin
            if known_at <= self.clock.monotonic():
                limit = self.staleness_limit(team)
        return self.learned_at(version) + limit * margin

    def learned_at(self, version: int) -> float:
        """Return a local instant not before ``version`` was committed."""
        for known in self.recent:
            if known.change.version == version:
                return known.learned_at
        if version <= self.adopted_version:
            return self.adopted_at
        return self.clock.monotonic()

    def since(self, version: int) -> list[model.Change] | None:
        """Return the changes that follow ``version``, or None when not held."""
        if version >= self.view.version:
            return []
        if not self.recent or self.recent[0].change.version > version + 1:
            return None
        return [k.change for k in self.recent if k.change.version > version]

    def _extend(self, changes: list[model.Change]) -> None:
        now = self.clock.monotonic()
        for change in changes:
            self.recent.append(Known(change, now, self._team(change)))
        self._move(self.view.apply(changes))

    def _team(self, change: model.Change) -> str:
        item = change.value or self.view.find(change.kind, change.name)
        return getattr(item, "team", "")

    def _move(self, view: model.View) -> None:
        old, self.view = self.view, view
        event, self.event = self.event, trio.Event()
        event.set()
        for listener in self.listeners:
            listener(old, view)
        logger.info("Configuration %d is in force.", view.version)
