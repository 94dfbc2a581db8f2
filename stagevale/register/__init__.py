"""A replicated compare-and-set register: one value, chosen by ballots of a group of voters.

`docs/control.md` says what holds and why. The configuration and the platform's duties each have a
register of their own; they share this code and nothing else.
"""
