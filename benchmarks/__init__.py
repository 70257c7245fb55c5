"""Measurements that the docs quote."""
