"""Hold each team's rate and burst over all entry hosts together."""
