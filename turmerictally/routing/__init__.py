"""Choose backend servers for online and batch requests."""
