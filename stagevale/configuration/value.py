"""The configuration's replicated value: the newest configuration, evacuations, offers, session
groups, rollouts, and the group of stores that votes.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from stagevale.configuration.change_history import ChangeHistory
from stagevale.configuration.text_delta import apply_text_delta, text_delta
from stagevale.consensus.value import VALUE_KIND, ReplicatedValue
from stagevale.rpc import codec

# Fields that a new version may change, by their names in a delta.
CHANGEABLE = (
    "version",
    "config",
    "evacuated",
    "group",
    "answered",
    "offers",
    "sessions",
    "rollouts",
)
CONFIG_FIELD = 2
HISTORY_FIELD = 5


class StoredOffer(NamedTuple):
    """A partner's offer; an empty text is a withdrawn one, whose version still counts."""

    version: int
    text: str


class SessionGroup(NamedTuple):
    """The registries that keep some sessions' records.

    Attributes:
        version: rises with each change of the members.
        members: addresses of the registries.
        former_members: whom the members learn the records from, until a majority of them has.
    """

    version: int
    members: tuple[str, ...]
    former_members: tuple[str, ...]


class ConfigurationValue(ReplicatedValue):
    """One version of the configuration value; immutable by convention.

    Attributes:
        version: the configuration's version, `r12` as 12; 0 before the first.
        config: the configuration as the operator sent it; empty before the first.
        evacuated: zones that are evacuated.
        answered: which changes were applied, for those that are sent again.
        offers: partners' offers by the partner's name.
        sessions: session groups by name.
        rollouts: rollouts by service, each as JSON.
    """

    __slots__ = (
        "version",
        "config",
        "evacuated",
        "answered",
        "offers",
        "sessions",
        "rollouts",
        "_published",
    )

    def __init__(
        self,
        serial: int,
        version: int,
        config: str,
        evacuated: Iterable[str],
        group: Iterable[str],
        answered: ChangeHistory | None = None,
        encoded: bytes | None = None,
        offers: Mapping[str, StoredOffer] | None = None,
        sessions: Mapping[str, SessionGroup] | None = None,
        rollouts: Mapping[str, str] | None = None,
    ) -> None:
        super().__init__(serial, group, encoded)
        self.version = version
        self.config = config
        self.evacuated = tuple(evacuated)
        self.answered = answered or ChangeHistory()
        self.offers = dict(offers or {})
        self.sessions = dict(sessions or {})
        self.rollouts = dict(rollouts or {})
        self._published: bytes | None = None

    @property
    def published(self) -> bytes:
        """The value as compressed bytes for daemons that don't vote: without the record of applied
        changes, which nobody else reads and which doesn't compress.
        """
        if self._published is None:
            fields = self.to_fields()
            fields[HISTORY_FIELD] = ChangeHistory().to_fields()
            self._published = codec.compress(codec.encode([VALUE_KIND, *fields]))
        return self._published

    def to_fields(self) -> list[Any]:
        """See `ReplicatedValue.to_fields`."""
        return [
            self.serial,
            self.version,
            self.config,
            list(self.evacuated),
            list(self.group),
            self.answered.to_fields(),
            _offers_to_fields(self.offers),
            _sessions_to_fields(self.sessions),
            self.rollouts,
        ]

    def _hashed_parts(self) -> tuple[bytes, ...]:
        """The configuration's text is hashed as it is: encoding it costs more than hashing it."""
        fields = self.to_fields()
        fields[CONFIG_FIELD] = len(self.config)
        return codec.encode([VALUE_KIND, *fields]), self.config.encode()

    def changed(self, **changes: Any) -> "ConfigurationValue":
        """The next version, with some of the fields in `CHANGEABLE` changed."""
        return ConfigurationValue(self.serial + 1, **{**self._changeable(), **changes})

    def with_group(self, group: tuple[str, ...]) -> "ConfigurationValue":
        """See `ReplicatedValue.with_group`."""
        return self.changed(group=group)

    def _changeable(self) -> dict[str, Any]:
        return {name: getattr(self, name) for name in CHANGEABLE}

    # deltas, for the network and the disk

    def delta_from(self, base: "ConfigurationValue") -> bytes | None:
        """The fields that differ from `base`, the configuration as a delta of its text; None where
        the record of applied changes doesn't follow on.
        """
        fields: dict[str, Any] = {}
        if self.version != base.version:
            fields["version"] = self.version
        if self.evacuated != base.evacuated:
            fields["evacuated"] = list(self.evacuated)
        if self.group != base.group:
            fields["group"] = list(self.group)
        if self.config != base.config:
            fields["config"] = text_delta(base.config, self.config)
        if self.answered is not base.answered:
            added = self.answered.added_since(base.answered)
            if added is None:
                return None
            fields["answered"] = added
        if self.offers != base.offers:
            fields["offers"] = _offers_to_fields(self.offers)
        if self.sessions != base.sessions:
            fields["sessions"] = _sessions_to_fields(self.sessions)
        if self.rollouts != base.rollouts:
            fields["rollouts"] = self.rollouts
        return codec.compress(codec.encode([VALUE_KIND, self.serial, self.digest, fields]))

    def with_delta(self, delta: bytes) -> "ConfigurationValue":
        """See `ReplicatedValue.with_delta`."""
        _, serial, digest, fields = codec.decode(codec.decompress(delta), "delta", "a peer")
        changes = {name: self._changed_field(name, field) for name, field in fields.items()}
        value = ConfigurationValue(serial, **{**self._changeable(), **changes})
        if value.digest != digest:
            raise ValueError("the delta leads to another value than was meant")
        return value

    def _changed_field(self, name: str, field: Any) -> Any:
        """A field's value after a change, out of the delta's field."""
        if name == "config":
            return apply_text_delta(self.config, field)
        if name == "answered":
            return self.answered.with_added(field)
        if name == "offers":
            return _offers_from_fields(field)
        if name == "sessions":
            return _sessions_from_fields(field)
        return field


def _offers_to_fields(offers: Mapping[str, StoredOffer]) -> dict[str, Any]:
    return {name: list(offer) for name, offer in offers.items()}


def _offers_from_fields(fields: Mapping[str, Any]) -> dict[str, StoredOffer]:
    return {name: StoredOffer(row[0], row[1]) for name, row in fields.items()}


def _sessions_to_fields(sessions: Mapping[str, SessionGroup]) -> dict[str, Any]:
    return {
        name: [group.version, list(group.members), list(group.former_members)]
        for name, group in sessions.items()
    }


def _sessions_from_fields(fields: Mapping[str, Any]) -> dict[str, SessionGroup]:
    return {
        name: SessionGroup(row[0], tuple(row[1]), tuple(row[2])) for name, row in fields.items()
    }


def read_configuration_value(encoded: bytes) -> ConfigurationValue:
    """A value out of its encoded bytes.

    Raises:
        DecodeError: the bytes can't be read.
        ValueError, TypeError, IndexError: they hold no value.
    """
    fields = codec.decode(codec.decompress(encoded), "value", "a peer")[1:]
    if isinstance(fields[HISTORY_FIELD], dict):
        return _former_value(fields)
    serial, version, config, evacuated, group, answered, offers, sessions, rollouts = fields
    return ConfigurationValue(
        serial,
        version,
        config,
        evacuated,
        group,
        ChangeHistory.from_fields(answered),
        encoded,
        _offers_from_fields(offers),
        _sessions_from_fields(sessions),
        rollouts,
    )


def _former_value(fields: list[Any]) -> ConfigurationValue:
    """A value written by a release that kept every change ever applied, by its number."""
    serial, version, config, evacuated, group, applied = fields[: HISTORY_FIELD + 1]
    history = ChangeHistory()
    for name in sorted(applied, key=lambda name: (not name.isdigit(), len(name), name)):
        history = history.with_change(name, applied[name])
    # Releases before offers, sessions or rollouts were added wrote fewer fields.
    missing: list[dict[str, Any]] = [{}, {}, {}]
    offers, sessions, rollouts = [*fields[HISTORY_FIELD + 1 :], *missing][: len(missing)]
    return ConfigurationValue(
        serial,
        version,
        config,
        evacuated,
        group,
        history,
        offers=_offers_from_fields(offers),
        sessions=_sessions_from_fields(sessions),
        rollouts=rollouts,
    )
