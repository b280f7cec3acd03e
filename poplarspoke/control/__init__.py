"""State that the hosts agree on: rules, endpoints, leases, failovers."""
