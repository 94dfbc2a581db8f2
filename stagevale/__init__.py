"""stagevale: a global load balancer whose own daemons carry, know and agree."""

__version__ = "0.1.0"
