"""Offer the operators' and developers' command line."""
