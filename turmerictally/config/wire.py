"""Translate configuration messages to and from the inner protocol."""

import collections.abc
import json

import attrs

from turmerictally.config import model, store
from turmerictally.peers import config_pb2


@attrs.frozen
class Target:
    """Name one start of a host: its id, peer address, failure domain and instance."""

    host_id: str
    address: str
    failure_domain: str
    instance: str


@attrs.frozen
class Confirmation:
    """Tell which version one start of a host has in force.

    ``dependents`` are hosts without a registration that took their configuration
    from it.
    """

    host_id: str
    instance: str
    version: int
    dependents: tuple[Target, ...] = ()


@attrs.frozen
class Push:
    """Carry changes to a host and the hosts it passes them on to.

    ``version`` is the sender's version in force; ``sender`` is the peer address at
    which missing changes can be pulled.
    """

    changes: tuple[model.Change, ...]
    version: int
    relay_to: tuple[Target, ...]
    time_left_s: float
    sender: str


@attrs.frozen
class Pull:
    """Ask for what follows version ``after``, or the next part of a snapshot."""

    after: int
    snapshot_version: int
    snapshot_offset: int
    registered: bool
    host: Target


@attrs.frozen
class Pulled:
    """Answer a pull with changes or with one part of a snapshot.

    ``age_s`` is the age of the peer's freshness in seconds, None when unknown.
    """

    version: int
    age_s: float | None
    changes: tuple[model.Change, ...] = ()
    snapshot_version: int = 0
    snapshot_size: int = 0
    snapshot_part: bytes = b""


def target(host: store.Host) -> Target:
    """Return a registered host as a target."""
    return Target(host.id, host.address, host.failure_domain, host.instance)


def encode_push(push: Push) -> bytes:
    """Return a push as bytes."""
    return config_pb2.Push(
        changes=_changes(push.changes),
        version=push.version,
        relay_to=_targets(push.relay_to),
        time_left_ms=int(push.time_left_s * 1000),
        sender=push.sender,
    ).SerializeToString()


def decode_push(body: bytes) -> Push:
    """Return the push in a body."""
    message = config_pb2.Push.FromString(body)
    return Push(
        changes=tuple(_change(change) for change in message.changes),
        version=message.version,
        relay_to=tuple(_target(one) for one in message.relay_to),
        time_left_s=message.time_left_ms / 1000,
        sender=message.sender,
    )


def encode_confirmations(
    confirmations: collections.abc.Iterable[Confirmation],
) -> bytes:
    """Return the reply to a push as bytes."""
    reply = config_pb2.PushReply()
    for one in confirmations:
        reply.confirmations.add(
            host_id=one.host_id,
            instance=one.instance,
            version=one.version,
            dependents=_targets(one.dependents),
        )
    return reply.SerializeToString()


def decode_confirmations(body: bytes) -> list[Confirmation]:
    """Return the confirmations in the reply to a push."""
    reply = config_pb2.PushReply.FromString(body)
    return [
        Confirmation(
            host_id=one.host_id,
            instance=one.instance,
            version=one.version,
            dependents=tuple(_target(dependent) for dependent in one.dependents),
        )
        for one in reply.confirmations
    ]


def encode_pull(pull: Pull) -> bytes:
    """Return a pull as bytes."""
    return config_pb2.PullRequest(
        after=pull.after,
        snapshot_version=pull.snapshot_version,
        snapshot_offset=pull.snapshot_offset,
        registered=pull.registered,
        host=_targets([pull.host])[0],
    ).SerializeToString()


def decode_pull(body: bytes) -> Pull:
    """Return the pull in a body."""
    message = config_pb2.PullRequest.FromString(body)
    return Pull(
        after=message.after,
        snapshot_version=message.snapshot_version,
        snapshot_offset=message.snapshot_offset,
        registered=message.registered,
        host=_target(message.host),
    )


def encode_pulled(pulled: Pulled) -> bytes:
    """Return the reply to a pull as bytes."""
    return config_pb2.PullReply(
        version=pulled.version,
        age_ms=-1 if pulled.age_s is None else int(pulled.age_s * 1000) + 1,
        changes=_changes(pulled.changes),
        snapshot_version=pulled.snapshot_version,
        snapshot_size=pulled.snapshot_size,
        snapshot_part=pulled.snapshot_part,
    ).SerializeToString()


def decode_pulled(body: bytes) -> Pulled:
    """Return the reply to a pull in a body."""
    message = config_pb2.PullReply.FromString(body)
    return Pulled(
        version=message.version,
        age_s=None if message.age_ms < 0 else message.age_ms / 1000,
        changes=tuple(_change(change) for change in message.changes),
        snapshot_version=message.snapshot_version,
        snapshot_size=message.snapshot_size,
        snapshot_part=message.snapshot_part,
    )


def _changes(
    changes: collections.abc.Iterable[model.Change],
) -> list[config_pb2.Change]:
    return [_change_message(change) for change in changes]


def _change_message(change: model.Change) -> config_pb2.Change:
    row = model.change_to_row(change)
    value = "" if row["value"] is None else json.dumps(row["value"])
    return config_pb2.Change(**(row | {"value": value}))


def _change(message: config_pb2.Change) -> model.Change:
    row = {
        "version": message.version,
        "kind": message.kind,
        "name": message.name,
        "value": json.loads(message.value) if message.value else None,
        "who": message.who,
        "at": message.at,
        "id": message.id,
    }
    return model.change_from_row(row)


def _targets(
    targets: collections.abc.Iterable[Target],
) -> list[config_pb2.Target]:
    return [config_pb2.Target(**attrs.asdict(one)) for one in targets]


def _target(message: config_pb2.Target) -> Target:
    return Target(
        message.host_id, message.address, message.failure_domain, message.instance
    )
