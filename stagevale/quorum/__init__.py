"""Majorities: ballots, the count of a request's replies, and voters that keep promises in memory."""
