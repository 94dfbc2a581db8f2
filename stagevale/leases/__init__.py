"""Leases of proxies on what may be withdrawn: partner routes and the new version of a service."""
