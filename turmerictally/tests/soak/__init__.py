"""Soak the real programs: processes, faults from outside, promises checked."""
