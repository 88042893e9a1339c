"""Steps for the inner protocol's feature."""

import contextlib
import hmac
import pathlib
import tempfile
import unittest.mock

import behave
import hypothesis
import trio
from hypothesis import strategies

from turmerictally import errors
from turmerictally.peers import (
    bridge,
    calls,
    client,
    envelope_pb2,
    handshake,
    server,
    tls,
    transport,
)
from turmerictally.tests.support import certificates

HANG_GUARD_S = 60
PING = calls.Kind.PING


def host(name, secret="s", version=1, files=None, instance="1"):
    me = calls.Caller(name, instance, version)
    peers = transport.Peers(me, secret, files)

    async def echo(caller, body):
        return caller.host_id.encode() + b":" + body

    peers.handle(PING, echo)
    return peers


async def ping(peers, address, kind=PING, body=b"x", left_s=HANG_GUARD_S):
    deadline = trio.current_time() + left_s
    return await peers.call(address, kind, body, deadline=deadline)


async def failing(peers, address, **options):
    try:
        await ping(peers, address, **options)
    except errors.Error as error:
        return error
    raise AssertionError("no error")


def over_loopback(check, *hosts):
    async def main():
        with trio.fail_after(HANG_GUARD_S):
            async with trio.open_nursery() as nursery:
                found = [await nursery.start(h.serve, "127.0.0.1:0") for h in hosts]
                await check(*hosts, *found)
                nursery.cancel_scope.cancel()

    trio.run(main)


async def until(condition):
    while not condition():
        await trio.sleep(0.01)


@behave.given("two hosts of one deployment")
def two_hosts(context):
    context.hosts = host("a"), host("b")


@behave.then("a call is answered and the handler knows who called")
def answered(context):
    async def check(a, b, at_a, at_b):
        assert await ping(a, at_b) == b"a:x"
        assert await ping(b, at_a) == b"b:x"
        assert a.traffic.sent_messages[PING] == 2

    over_loopback(check, *context.hosts)


@behave.then("an error arrives with its kind, its ran and its retry time")
def error_arrives(context):
    async def refuse(caller, body):
        kind = errors.Kind.FENCED
        ran = errors.Ran.MAY_HAVE_RUN
        raise errors.Error(kind, "lease 4", ran=ran, retry_after_s=2.5)

    async def check(a, b, at_a, at_b):
        b.handle(calls.Kind.YIELD, refuse)
        error = await failing(a, at_b, kind=calls.Kind.YIELD)
        assert (error.kind, error.detail) == (errors.Kind.FENCED, "lease 4")
        assert error.ran is errors.Ran.MAY_HAVE_RUN and error.retry_after_s == 2.5

    over_loopback(check, *context.hosts)


@behave.then("an unknown call kind and a failing handler are answered")
def unknown(context):
    async def fail(caller, body):
        raise ZeroDivisionError

    async def check(a, b, at_a, at_b):
        b.handle(calls.Kind.LEAVE, fail)
        error = await failing(a, at_b, kind=calls.Kind.STATUS)
        assert error.kind is errors.Kind.PEER_REFUSED
        error = await failing(a, at_b, kind=calls.Kind.LEAVE)
        assert error.kind is errors.Kind.INTERNAL
        assert await ping(a, at_b) == b"a:x"

    over_loopback(check, *context.hosts)


@behave.then("a handler is cancelled when the carried time is over")
def carried(context):
    async def check(a, b, at_a, at_b):
        cancelled = trio.Event()

        async def stuck(caller, body):
            try:
                await trio.sleep_forever()
            finally:
                cancelled.set()

        b.handle(calls.Kind.EXPLAIN, stuck)
        await ping(a, at_b)
        error = await failing(a, at_b, kind=calls.Kind.EXPLAIN, left_s=0.3)
        assert error.kind in (
            errors.Kind.PEER_UNAVAILABLE,
            errors.Kind.DEADLINE_EXCEEDED,
        )
        assert error.ran is errors.Ran.MAY_HAVE_RUN
        await cancelled.wait()

    over_loopback(check, *context.hosts)


@behave.then("a host with another secret is refused and refuses")
def other_secret(context):
    async def check(a, stranger, at_a, at_stranger):
        for one, address in ((stranger, at_a), (a, at_stranger)):
            error = await failing(one, address)
            assert error.kind is errors.Kind.PEER_REFUSED, error

    over_loopback(check, context.hosts[0], host("c", secret="other"))


@behave.then("without comparing proofs it would be let in")
def no_proofs(context):
    async def check(a, stranger, at_a, at_stranger):
        assert await ping(stranger, at_a) == b"c:x"

    with unittest.mock.patch.object(hmac, "compare_digest", lambda *_: True):
        over_loopback(check, host("a"), host("c", secret="other"))


@behave.then("a proof cannot be replayed")
def replay(context):
    async def check(a, at_a):
        proof, seen = await shake(at_a, lambda hello, challenge: good(hello, challenge))
        assert seen is None
        _, refusal = await shake(at_a, lambda hello, challenge: proof)
        assert refusal.failure.kind == "peer_refused"

    def good(hello, challenge):
        mine = handshake.Credentials(calls.Caller("b", "1", 1), "s")
        return handshake.mac(mine, b"connecting", hello, challenge)

    over_loopback(check, context.hosts[0])


async def shake(address, prove):
    """Shake hands by hand; return the proof and the refusal, if there is one."""
    stream = await bridge.shared().connect(address, None, "")
    identity = envelope_pb2.Identity(host_id="b", instance="1", protocol_version=1)
    hello = envelope_pb2.Hello(identity=identity, nonce=b"n" * 16)
    stream.send(envelope_pb2.Envelope(hello=hello))
    challenge = (await stream.receive()).challenge
    proof = prove(hello, challenge)
    stream.send(envelope_pb2.Envelope(proof=envelope_pb2.Proof(mac=proof)))
    stream.send(envelope_pb2.Envelope(id=1, kind=PING, time_left_ms=60_000))
    answer = await stream.receive()
    stream.close()
    return proof, None if answer.reply else answer


@behave.then("an adjacent protocol version is accepted and a farther one refused")
def versions(context):
    async def check(a, next_one, far, at_a, at_next, at_far):
        assert await ping(a, at_next) == b"a:x"
        assert await ping(next_one, at_a) == b"n:x"
        for one, address in ((a, at_far), (far, at_a)):
            error = await failing(one, address)
            assert error.kind is errors.Kind.PEER_REFUSED, error

    over_loopback(check, host("a"), host("n", version=2), host("f", version=3))


@behave.then("calls pass a stuck one on the same stream")
def pass_stuck(context):
    async def stuck(caller, body):
        await trio.sleep_forever()

    async def check(a, b, at_a, at_b):
        b.handle(calls.Kind.YIELD, stuck)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ping, a, at_b, calls.Kind.YIELD)
            for _ in range(20):
                assert await ping(a, at_b, body=b"y" * 100_000)
            nursery.cancel_scope.cancel()

    over_loopback(check, *context.hosts)


@behave.then("a connection runs a bounded number of calls")
def bounded(context):
    async def stuck(caller, body):
        await trio.sleep_forever()

    async def check(a, b, at_a, at_b):
        b.handle(calls.Kind.YIELD, stuck)
        async with trio.open_nursery() as nursery:
            for _ in range(server.MAX_RUNNING):
                nursery.start_soon(ping, a, at_b, calls.Kind.YIELD)
            await until(lambda: a.links.get(at_b).stream is not None)
            error = await failing(a, at_b)
            assert error.kind is errors.Kind.OVERLOADED and error.retry_after_s
            nursery.cancel_scope.cancel()

    over_loopback(check, *context.hosts)


@behave.then("a restarted host is called again")
def restarted(context):
    async def check(a, at_a):
        async with trio.open_nursery() as nursery:
            address = await nursery.start(host("b").serve, "127.0.0.1:0")
            assert await ping(a, address) == b"a:x"
            nursery.cancel_scope.cancel()
        error = await failing(a, address)
        assert error.kind is errors.Kind.PEER_UNAVAILABLE
        async with trio.open_nursery() as nursery:
            await nursery.start(host("b", instance="2").serve, address)
            while True:
                with contextlib.suppress(errors.Error):
                    assert await ping(a, address) == b"a:x"
                    break
                await trio.sleep(0.05)
            assert a.links.get(address).peer.instance == "2"
            nursery.cancel_scope.cancel()

    over_loopback(check, context.hosts[0])


@behave.then("an idle stream is closed and opened again")
def idle(context):
    async def check(a, b, at_a, at_b):
        for _ in range(2):
            assert await ping(a, at_b) == b"a:x"
            await until(lambda: a.links.get(at_b).stream is None)

    with unittest.mock.patch.object(client, "IDLE_S", 0.05):
        over_loopback(check, *context.hosts)


@behave.then("a silent stream is given up")
def silent(context):
    async def stuck(caller, body):
        with trio.CancelScope(shield=True):
            await trio.sleep(2)

    async def check(a, b, at_a, at_b):
        b.handle(calls.Kind.YIELD, stuck)
        await ping(a, at_b)
        first = a.links.get(at_b).stream
        for _ in range(client.MAX_UNANSWERED):
            assert a.links.get(at_b).stream is first
            await failing(a, at_b, kind=calls.Kind.YIELD, left_s=0.05)
        assert await ping(a, at_b) == b"a:x"
        assert a.links.get(at_b).stream is not first

    over_loopback(check, *context.hosts)


@behave.then("calls to an absent host fail at once while backing off")
def absent(context):
    async def check(a, at_a):
        for _ in range(2):
            error = await failing(a, "127.0.0.1:1")
            assert error.kind is errors.Kind.PEER_UNAVAILABLE
            assert error.ran is errors.Ran.NOT_RUN and error.retry_after_s > 0

    over_loopback(check, context.hosts[0])


@behave.given("hosts with certificates")
def with_certificates(context):
    context.folder = tempfile.TemporaryDirectory()
    context.authority = certificates.Authority(context.folder.name)
    context.files = issue(context.authority, "one")


def issue(authority, stem):
    return tls.Files(*authority.issue(stem, client.TLS_NAME), authority.path)


@behave.then("they call each other")
def call_each_other(context):
    async def check(a, b, at_a, at_b):
        assert await ping(a, at_b) == b"a:x"
        assert await ping(b, at_a) == b"b:x"

    over_loopback(check, host("a", files=context.files), host("b", files=context.files))


@behave.then("a host with another authority's certificate cannot connect")
def other_authority(context):
    other = certificates.Authority(context.folder.name, "other")
    theirs = issue(other, "theirs")
    # It trusts our authority, but none of ours signed its certificate.
    theirs = tls.Files(theirs.certificate, theirs.key, context.files.authority)

    async def check(a, stranger, plain, at_a, at_stranger, at_plain):
        for one in (stranger, plain):
            error = await failing(one, at_a)
            assert error.kind is errors.Kind.PEER_UNAVAILABLE, error

    stranger = host("c", files=theirs)
    over_loopback(check, host("a", files=context.files), stranger, host("p"))


@behave.then("a renewed certificate serves the next stream while the first goes on")
def renewed(context):
    own = issue(context.authority, "own")

    async def check(a, b, at_a, at_b):
        assert await ping(a, at_b) == b"a:x"
        first = a.links.get(at_b).stream
        fresh = certificates.Authority(context.folder.name, "fresh")
        replacement = issue(fresh, "replacement")
        for old, new in zip(
            (own.certificate, own.key, own.authority),
            (replacement.certificate, replacement.key, replacement.authority),
            strict=True,
        ):
            pathlib.Path(old).write_bytes(pathlib.Path(new).read_bytes())
        newcomer = host("n", files=replacement)
        async with trio.open_nursery() as nursery:
            await nursery.start(newcomer.serve, "127.0.0.1:0")
            assert await ping(newcomer, at_b) == b"n:x"
            assert await ping(a, at_b) == b"a:x"
            assert a.links.get(at_b).stream is first
            nursery.cancel_scope.cancel()

    over_loopback(check, host("a", files=own), host("b", files=own))


@behave.then("any envelope from outside is refused or answered")
def fuzzed(context):
    text = strategies.text(max_size=8)
    number = strategies.integers(0, 2**32 - 1)
    binary = strategies.binary(max_size=32)
    identity = strategies.builds(
        envelope_pb2.Identity, host_id=text, instance=text, protocol_version=number
    )
    envelopes = strategies.builds(
        envelope_pb2.Envelope,
        id=number,
        kind=number,
        reply=strategies.booleans(),
        time_left_ms=number,
        body=binary,
        failure=strategies.none() | strategies.builds(envelope_pb2.Failure, kind=text),
        hello=strategies.none()
        | strategies.builds(envelope_pb2.Hello, identity=identity, nonce=binary),
        proof=strategies.none() | strategies.builds(envelope_pb2.Proof, mac=binary),
    )

    examples = []

    @hypothesis.settings(max_examples=40)
    @hypothesis.given(strategies.lists(envelopes, min_size=2, max_size=4))
    def collect(example):
        examples.append(example)

    collect()

    async def check(a, b, at_a, at_b):
        for example in examples:
            stream = await bridge.shared().connect(at_b, None, "")
            with contextlib.suppress(bridge.StreamClosedError):
                for envelope in example:
                    stream.send(envelope)
                while not (await stream.receive()).HasField("failure"):
                    pass
            stream.close()
        assert await ping(a, at_b) == b"a:x"

    over_loopback(check, *context.hosts)
