"""Carry operators' orders to model engines, one at a time for each server."""
