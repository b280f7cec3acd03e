"""Tests; each module mirrors one module of the package."""
