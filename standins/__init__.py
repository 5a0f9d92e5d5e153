"""Small models of the platform's parts, for tests and trials on one machine."""
