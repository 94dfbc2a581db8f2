"""Latency-based routing, the setting `[steering]`: each proxy learns from the answers that it
carries which region answers a service fastest, and shifts requests to it.
"""
