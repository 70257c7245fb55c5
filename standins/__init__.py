"""Stand-ins of targets, stores, networks and hosts for tests and benches."""
