"""Benchmarks; most targets are ratios to a baseline measured in the same run."""
