"""Connect fake hosts in virtual time, with cuts, loss and delay."""

import random

import attrs
import trio

from turmerictally import errors
from turmerictally.peers import calls


@attrs.define
class Network:
    """Deliver calls among fake hosts; a cut is one direction of one pair."""

    delay_s: float = 0.001
    lose_request: float = 0.0
    lose_reply: float = 0.0
    duplicate: float = 0.0
    seed: int = 0
    endpoints: dict = attrs.Factory(dict)
    cuts: set = attrs.Factory(set)
    sent: int = 0
    sent_bytes: int = 0
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def attach(self, address: str, instance: str = "i0") -> "Peers":
        """Return the endpoint of a new host at this address."""
        peers = Peers(self, address, calls.Caller(address, instance, 1))
        self.endpoints[address] = peers
        return peers

    def detach(self, address: str) -> None:
        """Take a host off the network, as when it dies."""
        self.endpoints.pop(address, None)

    def cut(self, source: str, target: str) -> None:
        """Drop everything from source to target."""
        self.cuts.add((source, target))

    def separate(self, one: list, other: list) -> None:
        """Cut two groups of hosts off from each other in both directions."""
        for a in one:
            for b in other:
                self.cut(a, b)
                self.cut(b, a)

    def heal(self) -> None:
        """Remove every cut."""
        self.cuts.clear()


class Peers:
    """Implement ``calls.Peers`` over a fake network."""

    def __init__(self, network: Network, address: str, me: calls.Caller) -> None:
        self.network = network
        self.address = address
        self.me = me
        self.handlers = {}
        self.paused = None

    def handle(self, kind, handler) -> None:
        """Register a handler."""
        self.handlers[kind] = handler

    async def call(self, address, kind, body, *, deadline):
        """Deliver a call and return the reply."""
        with trio.move_on_at(deadline):
            return await self._exchange(address, kind, body)
        raise errors.Error(errors.Kind.PEER_UNAVAILABLE, "timeout")

    async def _exchange(self, address, kind, body):
        net = self.network
        await self._travel(address, net.lose_request, (self.address, address), body)
        target = net.endpoints.get(address)
        if target is None or kind not in target.handlers:
            raise errors.Error(errors.Kind.PEER_UNAVAILABLE, "no such host")
        if target.paused is not None:
            await target.paused.wait()
        if net.rng.random() < net.duplicate:
            await target.handlers[kind](self.me, body)
        reply = await target.handlers[kind](self.me, body)
        await self._travel(address, net.lose_reply, (address, self.address), reply)
        return reply

    async def _travel(self, address, loss, way, body):
        net = self.network
        net.sent += 1
        net.sent_bytes += len(body)
        await trio.sleep(net.delay_s)
        if way in net.cuts or net.rng.random() < loss:
            await trio.sleep_forever()
