"""Decide who is served where and when; everything here runs without a network."""
