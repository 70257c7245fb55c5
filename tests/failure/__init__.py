"""Tests of the decision code under failure, one module a promise."""
