"""Stand-ins for the platform and the endpoints, and a load generator."""
