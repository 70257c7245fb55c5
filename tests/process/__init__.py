"""Tests that run the programs as processes."""
