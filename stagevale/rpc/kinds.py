"""The kinds of messages between daemons; the numbers are part of the protocol and never change."""

import enum


class MessageKind(enum.IntEnum):
    """What a message is about: the first field of every frame and gossip datagram."""

    REPLY = 0
    HELLO = 1

    # Gossip, in datagrams.
    OVERVIEW = 10
    STATE = 11
    STATE_REQUEST = 12

    # Consensus on a replicated value, and how registries follow it.
    PREPARE = 20
    ACCEPT = 21
    CONFIRM_LEADERSHIP = 22
    COMMITTED_VALUE = 24
    LEADER_HEARTBEAT = 25
    COMMAND = 26
    READ_VALUE = 27
    LEADER_QUERY = 28
    PRE_VOTE = 29
    LEADER_RESIGNED = 36
    LEAVE_GROUP = 37

    # Endpoint instances among the registries.
    SHARD_CAMPAIGN = 30
    INSTANCES = 31
    HEARTBEATS_RECEIVED = 32
    REGISTRY_PING = 33
    SHARD_SYNC = 34
    SHARD_HANDOFF = 35

    # Proxies and the registries that feed them.
    SUBSCRIBE = 40
    FEED = 41
    FEED_HEARTBEAT = 42
    PULL_VALUE = 43
    UNSUBSCRIBE = 44
    SUBSCRIBED_PROXIES = 45
    SUBSCRIBED_PROXIES_REQUEST = 46
    USAGE_REPORT = 47
    USAGE_COUNTS_REQUEST = 48
    LEASE_REQUEST = 50
    LEASE_GRANT = 51

    # Session records.
    SESSION_ACQUIRE = 52
    SESSION_RESERVE_KEY = 53
    SESSION_RECORD_OUTCOME = 54
    SESSION_READ = 55
    SESSION_SYNC = 56
    SESSION_SYNC_STATUS = 57
    SESSION_SUCCESSOR = 58
    SESSION_FIND = 59

    # Tallies among the registries.
    TALLY_APPEND = 38
    TALLY_ADDS = 39
    TALLY_DIGEST = 48
    TALLY_PULL = 49


# The kinds of consensus messages begin here for the register of the singleton roles, which runs in
# the registries beside the configuration's client.
SINGLETON_KIND_OFFSET = 60
