"""Test the package with behave; see docs/CONTRIBUTING.md."""
