"""Carry the inner protocol between entry hosts."""
