"""Hold which failure domains get nothing new, as the operator asked."""

import attrs

# Ended evacuations whose versions are kept; a deployment has a few domains.
MAX_ENDED = 1000


@attrs.frozen
class Evacuated:
    """Hold since which version of the store a domain is evacuated, and when seen.

    ``seen_at`` is monotonic seconds.
    """

    version: int
    seen_at: float


@attrs.define(eq=False)
class Evacuations:
    """Hold the evacuated domains; none goes back to an older state.

    ``ended`` holds the store's versions without the evacuations that ended.
    """

    current: dict[str, Evacuated] = attrs.Factory(dict)
    ended: dict[str, int] = attrs.Factory(dict)

    def covers(self, domain: str) -> bool:
        """Return whether a domain's servers get nothing new."""
        return domain in self.current

    def begin(self, domain: str, version: int, now: float) -> bool:
        """Evacuate a domain; return whether that is news."""
        known = self.current.get(domain)
        if known is not None:
            if version <= known.version:
                return False
            self.current[domain] = Evacuated(version, known.seen_at)
            return True
        if version <= self.ended.get(domain, 0):
            return False
        self.current[domain] = Evacuated(version, now)
        return True

    def end(self, domain: str, version: int, *, sure: bool) -> Evacuated | None:
        """End an evacuation; return it, or None when there is none as old as that.

        Unless ``sure``, the version comes from a copy that may lack rows, and the same
        evacuation may be found again.
        """
        known = self.current.get(domain)
        if sure:
            version = max(version, self.ended.pop(domain, 0))
            self.ended[domain] = version
            if len(self.ended) > MAX_ENDED:
                del self.ended[next(iter(self.ended))]
        if known is None or version < known.version:
            return None
        return self.current.pop(domain)
