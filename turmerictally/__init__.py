"""Serve online and batch inference on one fleet of entry hosts."""

__version__ = "0.1.0"

# Hosts of adjacent protocol versions work together during a rolling release.
PROTOCOL_VERSION = 1
