"""Keep the fleet's configuration: contracts, keys, routes, services, servers."""
