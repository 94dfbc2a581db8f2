"""Test doubles by concern: network, disk, fleet, endpoints, platform."""
