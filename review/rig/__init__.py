"""Stand-ins of the second review: metadata store, members, callers, hosts."""
