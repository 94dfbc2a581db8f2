"""Cluster membership by gossip, after the Akka Cluster Specification.

Begin with `membership.Membership`, which other packages use. `gossip` exchanges overviews and
states, `failure_detector` finds unreachable members, `leader_actions` moves members between states
at convergence, `downing` marks members down that a majority of the core can't reach.
"""
