"""Measure the work of one host and merge the measurements of many hosts."""
