"""Who of the other registries is in reach, as far as one of them can know."""
