"""Errors of the simulation."""


class SimulationError(Exception):
    """Why there is nothing to simulate; the message names what is missing."""
