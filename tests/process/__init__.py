"""Tests with real processes."""
