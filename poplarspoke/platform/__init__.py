"""Adapter to the users' platform: names and encodings, no decisions."""
