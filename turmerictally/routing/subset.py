"""Pick the servers that one host uses, by rendezvous hashing."""

import hashlib
import heapq
import math

import attrs

# Hosts that should know each server, on average, whatever the fleet's size.
HOSTS_PER_SERVER = 4
# Part of the subset taken from other failure domains.
SPILL_DIVISOR = 4


@attrs.frozen
class Subset:
    """Hold addresses in the host's own failure domain and in others."""

    own: tuple[str, ...] = ()
    spill: tuple[str, ...] = ()


def rendezvous_weight(*parts: str) -> int:
    """Return a rendezvous weight for the joined parts."""
    data = "\0".join(parts).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def rendezvous_choice(name: str, candidates: list[str]) -> str | None:
    """Return the candidate with the highest rendezvous weight for a name."""
    return max(candidates, key=lambda each: rendezvous_weight(name, each), default=None)


def select(
    host_id: str,
    service: str,
    domains: dict[str, list[str]],
    own_domain: str,
    size: int,
    host_count: int,
) -> Subset:
    """Select the host's subset of the servers of a service or model.

    ``domains`` maps failure domains to server addresses. ``host_count`` is the number
    of live hosts in the host's own domain; with few hosts the subset grows beyond
    ``size`` so that every server is still used by about ``HOSTS_PER_SERVER`` hosts.
    """
    local = domains.get(own_domain, [])
    others = [a for d, each in domains.items() if d != own_domain for a in each]
    cover = math.ceil(len(local) * HOSTS_PER_SERVER / max(1, host_count))
    own = _top(host_id, service, local, max(size, cover))
    room = max(size - len(own), size // SPILL_DIVISOR)
    return Subset(own=own, spill=_top(host_id, service, others, room))


def _top(host_id: str, service: str, addresses: list[str], size: int) -> tuple:
    if len(addresses) <= size:
        return tuple(sorted(addresses))
    weigh = {
        address: rendezvous_weight(host_id, service, address) for address in addresses
    }
    return tuple(heapq.nlargest(size, addresses, key=weigh.__getitem__))
