"""Command line for operators."""
