"""Connect fake hosts in virtual time, with cuts, message loss and delay."""

import random

import attrs
import trio

from turmerictally import errors
from turmerictally.peers import calls


@attrs.define
class Network:
    """Deliver calls among fake hosts.

    ``lose_request``, ``lose_reply`` and ``duplicate`` are probabilities per call.
    ``cuts`` holds (source, target) pairs of addresses between which messages are lost.
    """

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
        """Add a host at this address and return its endpoint."""
        peers = Peers(self, address, calls.Caller(address, instance, 1))
        self.endpoints[address] = peers
        return peers

    def detach(self, address: str) -> None:
        """Remove a host from the network, as if it had crashed."""
        self.endpoints.pop(address, None)

    def cut(self, source: str, target: str) -> None:
        """Drop all messages from source to target."""
        self.cuts.add((source, target))

    def separate(self, one: list, other: list) -> None:
        """Cut two groups of hosts off from each other in both directions."""
        for address in one:
            for other_address in other:
                self.cut(address, other_address)
                self.cut(other_address, address)

    def heal(self) -> None:
        """Remove every cut."""
        self.cuts.clear()


class Peers:
    """Implement ``calls.Peers`` over a fake network.

    While ``paused`` is an event, calls to this host wait until it is set.
    """

    def __init__(self, network: Network, address: str, me: calls.Caller) -> None:
        self.network = network
        self.address = address
        self.me = me
        self.handlers = {}
        self.paused = None

    def handle(self, kind, handler) -> None:
        """Register the handler for calls of one kind."""
        self.handlers[kind] = handler

    async def call(self, address, kind, body, *, deadline):
        """Deliver a call and return the reply."""
        with trio.move_on_at(deadline):
            return await self._exchange(address, kind, body)
        raise errors.Error(errors.Kind.PEER_UNAVAILABLE, "timeout")

    async def _exchange(self, address, kind, body):
        net = self.network
        await self._transmit(net.lose_request, (self.address, address), body)
        target = net.endpoints.get(address)
        if target is None or kind not in target.handlers:
            raise errors.Error(errors.Kind.PEER_UNAVAILABLE, "no such host")
        if target.paused is not None:
            await target.paused.wait()
        if net.rng.random() < net.duplicate:
            await target.handlers[kind](self.me, body)
        reply = await target.handlers[kind](self.me, body)
        await self._transmit(net.lose_reply, (address, self.address), reply)
        return reply

    async def _transmit(self, loss_probability, endpoints, body):
        net = self.network
        net.sent += 1
        net.sent_bytes += len(body)
        await trio.sleep(net.delay_s)
        if endpoints in net.cuts or net.rng.random() < loss_probability:
            await trio.sleep_forever()
