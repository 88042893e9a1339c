"""Measure policies in virtual time with fixed seeds."""
