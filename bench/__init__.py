"""Measurements of the product, as ratios within one run."""
