"""Serve online and batch inference on one fleet of entry hosts."""

__version__ = "0.1.0"
