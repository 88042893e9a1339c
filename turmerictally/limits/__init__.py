"""Enforce each team's rate and burst across all entry hosts."""
