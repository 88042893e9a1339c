"""Know the fleet's other entry hosts: who they are and whether they live."""
