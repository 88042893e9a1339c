"""Share helpers among the tests."""
