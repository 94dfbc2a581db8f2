"""Rollouts: the stepwise shift of a service's requests from one software version of its endpoints
to another.
"""
