"""Helpers of the demonstration and fault scripts."""
