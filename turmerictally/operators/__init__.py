"""Serve the operators' HTTP API."""
