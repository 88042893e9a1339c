"""Keep requests away from failing servers with circuit breakers."""

import attrs

# Limit of the exponential back-off between probes, in multiples of ``probe_s``.
MAX_BACKOFF_FACTOR = 8


@attrs.define
class CircuitBreaker:
    """Track a server's consecutive failures; ``open_until`` is in monotonic seconds."""

    failures: int = 0
    open: bool = False
    open_until: float = 0.0
    trips: int = 0


class CircuitBreakers:
    """Keep a circuit breaker for each server.

    A refused connection opens the circuit at once, because no process listens there.
    Other failures open it after ``unhealthy_after`` in a row. An open circuit lets one
    probe request through after ``probe_s``, with exponential back-off.
    """

    def __init__(self, unhealthy_after: int, probe_s: float) -> None:
        self.unhealthy_after = unhealthy_after
        self.probe_s = probe_s
        self.circuits: dict[str, CircuitBreaker] = {}

    def allows(self, address: str, now: float) -> bool:
        """Return whether a request may be sent to the server now."""
        circuit = self.circuits.get(address)
        return circuit is None or not circuit.open or now >= circuit.open_until

    def request_started(self, address: str, now: float) -> None:
        """Block further requests while this one probes an open circuit."""
        circuit = self.circuits.get(address)
        if circuit is not None and circuit.open:
            circuit.open_until = now + self.probe_s

    def succeeded(self, address: str) -> None:
        """Close the server's circuit."""
        self.circuits.pop(address, None)

    def failed(self, address: str, now: float, *, refused: bool = False) -> None:
        """Count a failure; ``refused`` is true if no connection was established."""
        circuit = self.circuits.setdefault(address, CircuitBreaker())
        circuit.failures += 1
        if not refused and circuit.failures < self.unhealthy_after:
            return
        circuit.open = True
        delay_s = self.probe_s * min(MAX_BACKOFF_FACTOR, 2**circuit.trips)
        circuit.trips += 1
        circuit.open_until = now + delay_s

    def forget(self, address: str) -> None:
        """Reset the circuit of a server that was replaced or removed."""
        self.circuits.pop(address, None)
