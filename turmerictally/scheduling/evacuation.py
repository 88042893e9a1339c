"""Track the failure domains that an operator has evacuated."""

import attrs

# Ended evacuations whose versions are kept; a deployment has a few domains.
MAX_ENDED = 1000


@attrs.frozen
class Evacuation:
    """Hold the store version that evacuated a domain, and when this host saw it.

    ``seen_at`` is monotonic seconds.
    """

    version: int
    seen_at: float


@attrs.define(eq=False)
class Evacuations:
    """Hold the evacuated domains; updates older than the current state are ignored.

    ``ended`` maps each domain to the store version at which its evacuation had ended.
    """

    current: dict[str, Evacuation] = attrs.Factory(dict)
    ended: dict[str, int] = attrs.Factory(dict)

    def is_evacuated(self, domain: str) -> bool:
        """Return whether a domain is evacuated: its servers get no new requests."""
        return domain in self.current

    def begin(self, domain: str, version: int, now: float) -> bool:
        """Evacuate a domain; return whether this changed the state."""
        previous = self.current.get(domain)
        if previous is not None:
            if version <= previous.version:
                return False
            self.current[domain] = Evacuation(version, previous.seen_at)
            return True
        if version <= self.ended.get(domain, 0):
            return False
        self.current[domain] = Evacuation(version, now)
        return True

    def end(
        self, domain: str, version: int, *, authoritative: bool
    ) -> Evacuation | None:
        """End an evacuation and return it, or None if none is as old as ``version``.

        Unless ``authoritative``, the version comes from a copy that may lack rows, so a
        later read may show the same evacuation again and it must then take effect.
        """
        previous = self.current.get(domain)
        if authoritative:
            version = max(version, self.ended.pop(domain, 0))
            self.ended[domain] = version
            if len(self.ended) > MAX_ENDED:
                del self.ended[next(iter(self.ended))]
        if previous is None or version < previous.version:
            return None
        return self.current.pop(domain)
