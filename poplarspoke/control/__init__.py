"""What the hosts agree on: rules, endpoints, leases, changes of primary."""
