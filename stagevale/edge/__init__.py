"""A proxy's control side: what it learns from its feeding registry, and what it reports back."""
