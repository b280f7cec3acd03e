"""Stand-ins for the platform and the endpoints, and their load tool."""
