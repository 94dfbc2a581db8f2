"""Duties at the platform: one holder at a time, and what it reports counted once."""
