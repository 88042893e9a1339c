"""Apply operators' orders to model engines, one at a time for each backend server."""
