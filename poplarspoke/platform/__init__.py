"""Adapter to the platform: its names and encodings, no decisions."""
