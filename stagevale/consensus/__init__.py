"""Consensus on one replicated value: a compare-and-set register kept by a group of voters.

It is single-decree Paxos with a stable leader, run again for each version of the value. Candidates
ask for pre-votes before they run; a leader has its leadership confirmed by a majority before it
answers anything. `docs/control.md` says what holds and why. The configuration and the singleton
roles have a register of their own each; they share this code and nothing else.

Begin with `node.ConsensusNode`, which wires the parts together: `acceptor` (what a voter promises
and accepts), `election`, `replication` (a leader's proposals), `reconfiguration` (changes of the
group), `command_queue` (commands on their way to the leader), `vote_storage` (what is on disk).
"""
