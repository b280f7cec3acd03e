"""Benchmarks that print ratios of paired variants."""
