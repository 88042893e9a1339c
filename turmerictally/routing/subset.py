"""Select the subset of servers that a host uses, by rendezvous hashing."""

import hashlib
import heapq
import math

import attrs

# How many hosts use each server on average, independent of the fleet's size.
HOSTS_PER_SERVER = 4
# At least one in this many servers of a subset is from other failure domains.
SPILL_DIVISOR = 4


@attrs.frozen
class Subset:
    """Hold server addresses in the host's own and (``spill``) other failure domains."""

    own: tuple[str, ...] = ()
    spill: tuple[str, ...] = ()


def rendezvous_weight(*parts: str) -> int:
    """Return the rendezvous weight of the joined parts."""
    data = "\0".join(parts).encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def rendezvous_choice(name: str, candidates: list[str]) -> str | None:
    """Return the candidate with the highest rendezvous weight for a name."""
    return max(
        candidates,
        key=lambda candidate: rendezvous_weight(name, candidate),
        default=None,
    )


def select(
    host_id: str,
    group: str,
    domains: dict[str, list[str]],
    own_domain: str,
    size: int,
    host_count: int,
) -> Subset:
    """Select the host's subset of a group of servers.

    ``domains`` maps failure domains to server addresses. ``host_count`` is the number
    of live hosts in the host's own domain; with few hosts the subset grows beyond
    ``size`` so that every server is still used by about ``HOSTS_PER_SERVER`` hosts.
    """
    own_addresses = domains.get(own_domain, [])
    other_addresses = [
        a for d, listed in domains.items() if d != own_domain for a in listed
    ]
    needed = math.ceil(len(own_addresses) * HOSTS_PER_SERVER / max(1, host_count))
    own = _top(host_id, group, own_addresses, max(size, needed))
    spill_size = max(size - len(own), size // SPILL_DIVISOR)
    return Subset(own=own, spill=_top(host_id, group, other_addresses, spill_size))


def _top(host_id: str, group: str, addresses: list[str], size: int) -> tuple:
    if len(addresses) <= size:
        return tuple(sorted(addresses))
    weights = {
        address: rendezvous_weight(host_id, group, address) for address in addresses
    }
    return tuple(heapq.nlargest(size, addresses, key=weights.__getitem__))
