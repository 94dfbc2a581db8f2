"""Partner routes: offers beside the configuration, and one merged table that is the same
everywhere.
"""
