"""Checks of a configuration before it is sent; pure functions."""
