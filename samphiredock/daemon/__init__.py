"""The daemon program."""
