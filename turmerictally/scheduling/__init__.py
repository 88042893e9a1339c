"""Decide which request runs where and when; nothing here uses the network."""
