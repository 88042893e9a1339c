"""Answer operators over HTTP."""
