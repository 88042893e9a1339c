"""Divide permits among hosts without messages, at a cost independent of their number.

Each host has a point on each of several rings, and so does each permit on one of them.
A permit belongs to the first host at or after its point. Of two hosts that see each
other, the one further from a permit knows that it does not own it. Further hosts that
one of them sees can only take permits away. So no two of them own the same permit,
whatever each sees of others, and however many permits each believes that there are.

A host stores its distance to the host before it on each ring, and counts the permits in
between arithmetically.
"""

import functools
import hashlib

import attrs

# Several rings even out the parts of hosts: with one point each, they would differ like
# the gaps between random points.
RINGS = 64
POINT_BITS = 64
POINT_BYTES = POINT_BITS // 8
RING_SIZE = 1 << POINT_BITS
MAX_CACHED_HOSTS = 2000
MAX_BLOCKS = 8  # leaves less than a hundredth of a large number of permits unused


@attrs.define(eq=False)
class PermitRings:
    """Hold how much of each ring belongs to a host, given the hosts that it sees.

    ``arcs`` gives by ring the size of its part, which ends at its own point, None where
    it is not known yet. ``generation`` counts the changes of parts that were known.
    """

    host: str
    hosts: frozenset[str] = frozenset()
    arcs: list[int | None] = attrs.Factory(lambda: [None] * RINGS)
    generation: int = 0

    def update(self, hosts: frozenset[str]) -> None:
        """Set the hosts that this one sees; the cost is that of the changes."""
        if hosts == self.hosts:
            return
        added, removed = hosts - self.hosts, self.hosts - hosts
        self.hosts = hosts
        before = list(self.arcs)
        for ring, arc in enumerate(before):
            if arc is None:
                continue
            if any(self._gap(ring, name) == arc for name in removed):
                self.arcs[ring] = None
            else:
                gaps = [self._gap(ring, name) for name in added - {self.host}]
                self.arcs[ring] = min([arc, *gaps])
        self.generation += self.arcs != before or self.host in added | removed

    def count_owned(self, server: str, permits: int) -> int:
        """Return how many of a server's permits belong to the host."""
        if self.host not in self.hosts:
            return 0
        offsets = _hash_points(server)
        first_ring = offsets[0] % RINGS
        per_ring, extra = divmod(permits, RINGS)
        fuller, others = _Sequence.of(per_ring + 1), _Sequence.of(per_ring)
        own_points = _host_points(self.host)
        count = 0
        # A permit's number gives its ring and its place in the sequence there, so that
        # a larger limit adds permits and moves none.
        for number in range(RINGS if per_ring else extra):
            ring = (first_ring + number) % RINGS
            sequence = fuller if number < extra else others
            end = (own_points[ring] - offsets[ring]) % RING_SIZE
            count += sequence.count_before(end, self._arc(ring))
        return count

    def _arc(self, ring: int) -> int:
        arc = self.arcs[ring]
        if arc is None:
            gaps = (self._gap(ring, name) for name in self.hosts if name != self.host)
            arc = self.arcs[ring] = min(gaps, default=RING_SIZE)
        return arc

    def _gap(self, ring: int, other: str) -> int:
        """Return the distance from another host's point to the host's own."""
        return (_host_points(self.host)[ring] - _host_points(other)[ring]) % RING_SIZE


@attrs.frozen
class _Sequence:
    """Hold the first points of the van der Corput sequence: numbers, bits reversed.

    They are spread evenly however many there are. ``blocks`` are runs of them at equal
    distances: by run the binary logarithm of that distance, and the first point. A
    large number of points is rounded down, so that a few runs make it up.
    """

    size: int
    blocks: tuple[tuple[int, int], ...]

    @classmethod
    @functools.lru_cache(maxsize=1024)
    def of(cls, size: int) -> "_Sequence":
        """Return the sequence's first ``size`` points."""
        size &= -1 << max(0, size.bit_length() - MAX_BLOCKS)
        blocks = []
        first = 0
        for bit in reversed(range(size.bit_length())):
            if size >> bit & 1:
                blocks.append((POINT_BITS - bit, _reverse_bits(first)))
                first += 1 << bit
        return cls(size, tuple(blocks))

    def count_before(self, end: int, length: int) -> int:
        """Return how many points lie in an arc that ends with the point ``end``."""
        start = end - length
        if start >= -1:
            return self._count_below(end + 1) - self._count_below(start + 1)
        wrapped = self.size - self._count_below(RING_SIZE + start + 1)
        return self._count_below(end + 1) + wrapped

    def _count_below(self, point: int) -> int:
        return sum(
            (point - first + (1 << spacing) - 1) >> spacing
            for spacing, first in self.blocks
        )


def _reverse_bits(number: int) -> int:
    return int(f"{number:0{POINT_BITS}b}"[::-1], 2)


@functools.lru_cache(maxsize=MAX_CACHED_HOSTS)
def _host_points(host: str) -> tuple[int, ...]:
    """Return a host's point on each ring."""
    return _hash_points(host)


def _hash_points(name: str) -> tuple[int, ...]:
    hashed = hashlib.shake_256(name.encode()).digest(RINGS * POINT_BYTES)
    return tuple(
        int.from_bytes(hashed[at : at + POINT_BYTES], "big")
        for at in range(0, len(hashed), POINT_BYTES)
    )
