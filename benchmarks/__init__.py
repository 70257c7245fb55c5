"""Benchmarks, whose figures the documentation quotes."""
