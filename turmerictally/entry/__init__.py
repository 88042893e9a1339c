"""Serve callers on a platform that keeps configuration and state in a row store."""
