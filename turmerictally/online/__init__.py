"""Forward online requests to backend servers and return complete responses."""
