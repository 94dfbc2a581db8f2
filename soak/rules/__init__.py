"""The rules, a module for each few that look at the same records."""
