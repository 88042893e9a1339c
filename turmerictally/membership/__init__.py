"""Track the fleet's other entry hosts by gossip and detect failed ones."""
