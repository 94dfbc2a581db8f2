"""Balancing: which endpoint a request goes to, and whether it may be sent again."""
