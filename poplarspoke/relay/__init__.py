"""Relays statements of caller sessions to database endpoints."""
