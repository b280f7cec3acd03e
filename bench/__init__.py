"""Benchmarks, most of which print ratios of paired variants."""
