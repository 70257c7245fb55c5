"""Small stand-ins of the systems that a tier meets, for tests and trials."""
