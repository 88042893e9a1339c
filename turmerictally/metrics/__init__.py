"""Measure what one host did, and merge the measurements of many hosts."""
