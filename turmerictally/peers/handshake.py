"""Authenticate two hosts to each other with the deployment's secret.

Each side sends a fresh nonce and proves that it knows the secret by a MAC over both
nonces and both identities, so no clock is compared and no proof can be replayed.
"""

import hashlib
import hmac
import secrets

import attrs

from turmerictally import errors
from turmerictally.peers import bridge, calls, envelope_pb2

PROTOCOL_VERSION = 1
NONCE_BYTES = 16


@attrs.frozen
class Credentials:
    """Hold this host's identity and the secret shared by the deployment."""

    me: calls.Caller
    secret: str = attrs.field(repr=False)


async def greet(stream: bridge.Stream, credentials: Credentials) -> calls.Caller:
    """Authenticate a stream that this host opened; return the peer's identity.

    Raises ``errors.Error`` with ``PEER_REFUSED`` when either side refuses.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    identity = to_message(credentials.me)
    hello = envelope_pb2.Hello(identity=identity, nonce=nonce)
    stream.send(envelope_pb2.Envelope(hello=hello))
    answer = await stream.receive()
    if not answer.HasField("challenge"):
        raise refusal(answer.failure.detail or "no challenge came")
    challenge = answer.challenge
    expected = mac(credentials, b"accepting", hello, challenge)
    if not hmac.compare_digest(expected, challenge.mac):
        raise refusal("the other host does not know the secret")
    check_version(credentials.me, challenge.identity.protocol_version)
    proof = mac(credentials, b"connecting", hello, challenge)
    stream.send(envelope_pb2.Envelope(proof=envelope_pb2.Proof(mac=proof)))
    return to_caller(challenge.identity)


async def welcome(stream: bridge.Stream, credentials: Credentials) -> calls.Caller:
    """Authenticate a stream that another host opened; return its identity.

    Raises ``errors.Error`` with ``PEER_REFUSED``.
    """
    first = await stream.receive()
    if not first.HasField("hello"):
        raise refusal("no greeting came")
    hello = first.hello
    if len(hello.nonce) != NONCE_BYTES:
        raise refusal("bad nonce")
    check_version(credentials.me, hello.identity.protocol_version)
    challenge = envelope_pb2.Challenge(
        identity=to_message(credentials.me), nonce=secrets.token_bytes(NONCE_BYTES)
    )
    challenge.mac = mac(credentials, b"accepting", hello, challenge)
    stream.send(envelope_pb2.Envelope(challenge=challenge))
    second = await stream.receive()
    expected = mac(credentials, b"connecting", hello, challenge)
    if not hmac.compare_digest(expected, second.proof.mac):
        raise refusal("the connecting host does not know the secret")
    return to_caller(hello.identity)


def mac(
    credentials: Credentials,
    side: bytes,
    hello: envelope_pb2.Hello,
    challenge: envelope_pb2.Challenge,
) -> bytes:
    """Return one side's proof over both identities and nonces."""
    digest = hmac.new(credentials.secret.encode(), side, hashlib.sha256)
    for part in (hello, challenge):
        digest.update(part.nonce)
        for field in (part.identity.host_id, part.identity.instance):
            text = field.encode()
            digest.update(len(text).to_bytes(4, "big") + text)
        digest.update(part.identity.protocol_version.to_bytes(4, "big"))
    return digest.digest()


def check_version(me: calls.Caller, version: int) -> None:
    """Accept the same or an adjacent protocol version."""
    if abs(me.protocol_version - version) > 1:
        raise refusal(
            f"protocol version {version} is not adjacent to {me.protocol_version}"
        )


def refusal(detail: str) -> errors.Error:
    """Return the error of a refused host."""
    return errors.Error(errors.Kind.PEER_REFUSED, detail)


def to_message(caller: calls.Caller) -> envelope_pb2.Identity:
    """Return an identity as a message."""
    return envelope_pb2.Identity(
        host_id=caller.host_id,
        instance=caller.instance,
        protocol_version=caller.protocol_version,
    )


def to_caller(identity: envelope_pb2.Identity) -> calls.Caller:
    """Return the identity in a message."""
    return calls.Caller(
        host_id=identity.host_id,
        instance=identity.instance,
        protocol_version=identity.protocol_version,
    )
