"""Translate membership messages to and from the inner protocol."""

import collections.abc

import attrs

from turmerictally.membership import members
from turmerictally.peers import membership_pb2


@attrs.frozen
class Ping:
    """Carry a host's claims and the version of its configuration.

    ``age_s`` is the age of the sender's freshness in seconds, None when unknown.
    ``everyone`` asks for every member that the receiver knows.
    """

    sender: members.Claim
    config_version: int
    age_s: float | None
    claims: tuple[members.Claim, ...]
    everyone: bool = False


def encode(ping: Ping) -> bytes:
    """Return a ping as bytes."""
    return _ping_message(ping).SerializeToString()


def decode(body: bytes) -> Ping:
    """Return the ping in a body."""
    return _ping(membership_pb2.Ping.FromString(body))


def encode_through(ping: Ping, target: str, time_left_s: float) -> bytes:
    """Return the request to ping an address on behalf of the sender."""
    return membership_pb2.PingThrough(
        ping=_ping_message(ping),
        target_address=target,
        time_left_ms=int(time_left_s * 1000),
    ).SerializeToString()


def decode_through(body: bytes) -> tuple[bytes, str, float]:
    """Return the ping to pass on, the target's address and the seconds left."""
    message = membership_pb2.PingThrough.FromString(body)
    inner = message.ping.SerializeToString()
    return inner, message.target_address, message.time_left_ms / 1000


def encode_through_reply(reply: bytes | None) -> bytes:
    """Return the target's answer, or that it gave none."""
    message = membership_pb2.PingThroughReply(reached=reply is not None)
    if reply is not None:
        message.ping.ParseFromString(reply)
    return message.SerializeToString()


def decode_through_reply(body: bytes) -> Ping | None:
    """Return the target's answer, or None."""
    message = membership_pb2.PingThroughReply.FromString(body)
    return _ping(message.ping) if message.reached else None


def _ping_message(ping: Ping) -> membership_pb2.Ping:
    return membership_pb2.Ping(
        sender=_member(ping.sender),
        config_version=ping.config_version,
        age_ms=-1 if ping.age_s is None else int(ping.age_s * 1000) + 1,
        updates=_members(ping.claims),
        everyone=ping.everyone,
    )


def _ping(message: membership_pb2.Ping) -> Ping:
    return Ping(
        sender=_claim(message.sender),
        config_version=message.config_version,
        age_s=None if message.age_ms < 0 else message.age_ms / 1000,
        claims=tuple(_claim(update) for update in message.updates),
        everyone=message.everyone,
    )


def _members(
    claims: collections.abc.Iterable[members.Claim],
) -> list[membership_pb2.Member]:
    return [_member(claim) for claim in claims]


def _member(claim: members.Claim) -> membership_pb2.Member:
    return membership_pb2.Member(
        id=claim.id,
        instance=claim.instance,
        address=claim.address,
        region=claim.region,
        failure_domain=claim.failure_domain,
        state=claim.state.value,
        incarnation=claim.incarnation,
    )


def _claim(message: membership_pb2.Member) -> members.Claim:
    return members.Claim(
        id=message.id,
        instance=message.instance,
        address=message.address,
        region=message.region,
        failure_domain=message.failure_domain,
        state=members.State(message.state),
        incarnation=message.incarnation,
    )
