"""Tenants: whose key a request bears, and what follows from it."""
