"""Relay that forwards statements of callers to database endpoints."""
