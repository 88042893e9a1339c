"""Count the messages and bytes of the inner protocol."""

import collections

import attrs


@attrs.define
class Traffic:
    """Hold counts by call kind; bytes are of serialized envelopes."""

    sent_messages: collections.Counter[int] = attrs.Factory(collections.Counter)
    sent_bytes: collections.Counter[int] = attrs.Factory(collections.Counter)
    received_messages: collections.Counter[int] = attrs.Factory(collections.Counter)
    received_bytes: collections.Counter[int] = attrs.Factory(collections.Counter)

    def sent(self, kind: int, size: int) -> None:
        """Count a message sent."""
        self.sent_messages[kind] += 1
        self.sent_bytes[kind] += size

    def received(self, kind: int, size: int) -> None:
        """Count a message received."""
        self.received_messages[kind] += 1
        self.received_bytes[kind] += size
