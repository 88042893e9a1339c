"""Open a circuit to a server that fails, and probe it before new work."""

import attrs

# Longest time between two probes, as a multiple of the probe interval.
MAX_BACKOFF_FACTOR = 8


@attrs.define
class CircuitBreaker:
    """Count a server's failures in a row; ``open_until`` is monotonic seconds."""

    failures: int = 0
    open: bool = False
    open_until: float = 0.0
    trips: int = 0


class CircuitBreakers:
    """Decide which servers may be tried now.

    A refused connection opens the circuit at once, because nothing listens there.
    Other failures open it after ``unhealthy_after`` in a row. After ``probe_s``
    one request at a time may test the server.
    """

    def __init__(self, unhealthy_after: int, probe_s: float) -> None:
        self.unhealthy_after = unhealthy_after
        self.probe_s = probe_s
        self.circuits: dict[str, CircuitBreaker] = {}

    def allows(self, address: str, now: float) -> bool:
        """Return whether a request may go to the server."""
        circuit = self.circuits.get(address)
        return circuit is None or not circuit.open or now >= circuit.open_until

    def request_started(self, address: str, now: float) -> None:
        """Hold others back while a request tests an open circuit."""
        circuit = self.circuits.get(address)
        if circuit is not None and circuit.open:
            circuit.open_until = now + self.probe_s

    def succeeded(self, address: str) -> None:
        """Close the circuit."""
        self.circuits.pop(address, None)

    def failed(self, address: str, now: float, *, refused: bool = False) -> None:
        """Count a failure; ``refused`` tells that no connection was made."""
        circuit = self.circuits.setdefault(address, CircuitBreaker())
        circuit.failures += 1
        if not refused and circuit.failures < self.unhealthy_after:
            return
        circuit.open = True
        wait = self.probe_s * min(MAX_BACKOFF_FACTOR, 2**circuit.trips)
        circuit.trips += 1
        circuit.open_until = now + wait

    def forget(self, address: str) -> None:
        """Drop what is known of a server that was replaced."""
        self.circuits.pop(address, None)
