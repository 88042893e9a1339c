"""Carry online requests to backend servers and whole answers back."""
