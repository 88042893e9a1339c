"""Choose backend servers for online requests and batch work."""
