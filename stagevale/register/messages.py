"""What the members of a register say to each other, as typed messages."""

from stagevale.ballots import as_ballot


class MessageError(ValueError):
    """A message of the wrong shape; names its type and the field."""


class Message:
    """A message whose fields are its slots, in their order; `kinds` gives their types."""

    __slots__ = ()
    kinds = {}

    def __init__(self, *values):
        for name, value in zip(self.__slots__, values, strict=True):
            setattr(self, name, value)

    def fields(self):
        """The message as a list for the wire."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def read(cls, fields):
        """The message out of a list from the wire. Raises MessageError for anything else."""
        if not isinstance(fields, list) or len(fields) != len(cls.__slots__):
            raise MessageError(f"{cls.__name__}: want {len(cls.__slots__)} fields")
        values = []
        for name, value in zip(cls.__slots__, fields, strict=True):
            kind = cls.kinds[name]
            if kind is BALLOT:
                values.append(read_ballot(cls.__name__, name, value))
            elif kind is VOTERS:
                values.append(read_voters(cls.__name__, name, value))
            elif isinstance(value, kind):
                values.append(value)
            else:
                raise MessageError(
                    f"{cls.__name__}.{name}: want {kind.__name__}, got {value!r:.40}"
                )
        return cls(*values)


BALLOT = "ballot"
VOTERS = "voters"


def read_ballot(message, name, value):
    try:
        return as_ballot(value)
    except (ValueError, TypeError):
        raise MessageError(f"{message}.{name}: not a ballot: {value!r:.40}") from None


def read_voters(message, name, value):
    if not isinstance(value, list) or not all(isinstance(voter, str) for voter in value):
        raise MessageError(f"{message}.{name}: not a list of voters: {value!r:.40}")
    return tuple(value)


class Poll(Message):
    """A candidate's question whether an election would be welcome; it changes nothing."""

    __slots__ = ("voter", "candidate", "accepted_ballot", "serial")
    kinds = {"voter": str, "candidate": str, "accepted_ballot": BALLOT, "serial": int}


class PollAnswer(Message):
    """Whether this voter would promise; the leader that it hears, if any; its promise; and, for a
    candidate that has been voted out, the newest value accepted here and under which ballot.
    """

    __slots__ = ("granted", "leader_ballot", "promised", "accepted_ballot", "packed")
    kinds = {
        "granted": bool,
        "leader_ballot": BALLOT,
        "promised": BALLOT,
        "accepted_ballot": BALLOT,
        "packed": bytes,
    }


class Prepare(Message):
    """A candidate asks for a promise; `mark` is that of the value which it has accepted itself."""

    __slots__ = ("ballot", "voter", "candidate", "accepted_ballot", "serial", "mark")
    kinds = {
        "ballot": BALLOT,
        "voter": str,
        "candidate": str,
        "accepted_ballot": BALLOT,
        "serial": int,
        "mark": bytes,
    }


class Promise(Message):
    """A promise with the value accepted here, or a refusal with what was promised.

    `packed` is empty where nothing was accepted, or where `same` says that it is the candidate's.
    """

    __slots__ = ("granted", "promised", "accepted_ballot", "same", "packed")
    kinds = {
        "granted": bool,
        "promised": BALLOT,
        "accepted_ballot": BALLOT,
        "same": bool,
        "packed": bytes,
    }


class Accept(Message):
    """A leader's value: whole, or as a change of the value whose mark is `base`.

    An empty `voter` addresses whatever disk stands there: a daemon that is to be invited.
    """

    __slots__ = ("ballot", "voter", "base", "data")
    kinds = {"ballot": BALLOT, "voter": str, "base": bytes, "data": bytes}


class Accepted(Message):
    """Whether the value is on this voter's disk, and why not where it isn't."""

    __slots__ = ("granted", "promised", "voter", "wants_whole")
    kinds = {"granted": bool, "promised": BALLOT, "voter": str, "wants_whole": bool}


class Confirm(Message):
    """A leader asks whether its ballot still stands at a voter."""

    __slots__ = ("ballot", "voter")
    kinds = {"ballot": BALLOT, "voter": str}


class Confirmation(Message):
    """Whether the ballot stands, by what is on disk; and which value this voter holds."""

    __slots__ = ("granted", "promised", "voter", "accepted_ballot", "mark")
    kinds = {
        "granted": bool,
        "promised": BALLOT,
        "voter": str,
        "accepted_ballot": BALLOT,
        "mark": bytes,
    }


class Beacon(Message):
    """A leader that a majority has just confirmed says so to every daemon of the core."""

    __slots__ = ("ballot", "serial", "group_mark")
    kinds = {"ballot": BALLOT, "serial": int, "group_mark": int}


class LeaderInfo(Message):
    """Whom a daemon takes for the leader, and the newest group that it knows."""

    __slots__ = ("known", "leader_ballot", "serial", "group")
    kinds = {"known": bool, "leader_ballot": BALLOT, "serial": int, "group": VOTERS}


class Leave(Message):
    """A voter that is about to end asks the leader to take it out of the group."""

    __slots__ = ("voter",)
    kinds = {"voter": str}


class Resigned(Message):
    """A leader has given its ballot up; the voters need not wait for its silence."""

    __slots__ = ("ballot",)
    kinds = {"ballot": BALLOT}
