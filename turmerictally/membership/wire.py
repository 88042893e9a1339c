"""Encode and decode membership messages of the protocol between hosts."""

import collections.abc

import attrs

from turmerictally.membership import members
from turmerictally.peers import membership_pb2


@attrs.frozen
class Ping:
    """Carry a host's claims and the version of its configuration.

    ``age_s`` is the time in seconds since the sender's configuration was last
    confirmed to be current, None if unknown. ``wants_all_members`` requests
    claims about every member that the receiver knows.
    """

    sender: members.Claim
    config_version: int
    age_s: float | None
    claims: tuple[members.Claim, ...]
    wants_all_members: bool = False


def encode(ping: Ping) -> bytes:
    """Return a ping as bytes."""
    return _encode_ping(ping).SerializeToString()


def decode(body: bytes) -> Ping:
    """Return the ping in a body."""
    return _decode_ping(membership_pb2.Ping.FromString(body))


def encode_indirect_ping(ping: Ping, target_address: str, timeout_s: float) -> bytes:
    """Return a request to ping an address on behalf of the sender."""
    return membership_pb2.PingThrough(
        ping=_encode_ping(ping),
        target_address=target_address,
        time_left_ms=int(timeout_s * 1000),
    ).SerializeToString()


def decode_indirect_ping(body: bytes) -> tuple[bytes, str, float]:
    """Return the encoded ping, the target's address and the timeout in seconds."""
    message = membership_pb2.PingThrough.FromString(body)
    ping_body = message.ping.SerializeToString()
    return ping_body, message.target_address, message.time_left_ms / 1000


def encode_indirect_reply(reply: bytes | None) -> bytes:
    """Wrap the target's reply to a relayed ping; None if it did not reply."""
    message = membership_pb2.PingThroughReply(reached=reply is not None)
    if reply is not None:
        message.ping.ParseFromString(reply)
    return message.SerializeToString()


def decode_indirect_reply(body: bytes) -> Ping | None:
    """Return the target's reply, or None if the relay did not reach it."""
    message = membership_pb2.PingThroughReply.FromString(body)
    return _decode_ping(message.ping) if message.reached else None


def _encode_ping(ping: Ping) -> membership_pb2.Ping:
    return membership_pb2.Ping(
        sender=_encode_claim(ping.sender),
        config_version=ping.config_version,
        age_ms=-1 if ping.age_s is None else int(ping.age_s * 1000) + 1,
        updates=_encode_claims(ping.claims),
        everyone=ping.wants_all_members,
    )


def _decode_ping(message: membership_pb2.Ping) -> Ping:
    return Ping(
        sender=_decode_claim(message.sender),
        config_version=message.config_version,
        age_s=None if message.age_ms < 0 else message.age_ms / 1000,
        claims=tuple(_decode_claim(update) for update in message.updates),
        wants_all_members=message.everyone,
    )


def _encode_claims(
    claims: collections.abc.Iterable[members.Claim],
) -> list[membership_pb2.Member]:
    return [_encode_claim(claim) for claim in claims]


def _encode_claim(claim: members.Claim) -> membership_pb2.Member:
    return membership_pb2.Member(
        id=claim.id,
        instance=claim.instance,
        address=claim.address,
        region=claim.region,
        failure_domain=claim.failure_domain,
        state=claim.state.value,
        incarnation=claim.incarnation,
    )


def _decode_claim(message: membership_pb2.Member) -> members.Claim:
    return members.Claim(
        id=message.id,
        instance=message.instance,
        address=message.address,
        region=message.region,
        failure_domain=message.failure_domain,
        state=members.State(message.state),
        incarnation=message.incarnation,
    )
