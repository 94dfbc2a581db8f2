"""What each command about offers does to the configuration value."""

import json

from stagevale.configuration.commands import (
    BAD_REQUEST,
    NOT_FOUND,
    OK,
    PRECONDITION_FAILED,
    CommandHandler,
    CommandKind,
    Outcome,
    Zones,
)
from stagevale.configuration.documents import fingerprint
from stagevale.configuration.value import ConfigurationValue, StoredOffer
from stagevale.partners.documents import check_offer
from stagevale.partners.table import table_of

NO_OFFER = StoredOffer(0, "")


def put_offer(value: ConfigurationValue, payload: str, zones: Zones) -> Outcome:
    """Puts an offer in force; the payload is the partner's name, a line end, and the offer."""
    partner, _, text = payload.partition("\n")
    config = json.loads(value.config) if value.config else {}
    checked = check_offer(partner, text, config, value.offers, zones)
    if checked.is_error():
        return Outcome(checked.error.status, checked.error.reason)
    offer = checked.ok
    version, hashed = offer["version"], fingerprint(text)
    name = f"{partner}/{version}"
    if value.answered.contains(name, hashed):
        return Outcome(OK)
    current = value.offers.get(partner, NO_OFFER).version
    if offer["parentVersion"] != current:
        return Outcome(PRECONDITION_FAILED, f"offer r{current} of {partner} is in place")
    if version <= current:
        return Outcome(BAD_REQUEST, f"version: r{version} is not above r{current}")
    after = value.changed(
        offers={**value.offers, partner: StoredOffer(version, text)},
        answered=value.answered.with_change(name, hashed),
    )
    return _changed(value, after)


def withdraw_offer(value: ConfigurationValue, payload: str, _zones: Zones) -> Outcome:
    """Withdraws the offer of the partner that the payload names; its version is kept, so that no
    later offer goes back behind it.
    """
    offer = value.offers.get(payload)
    if offer is None:
        return Outcome(NOT_FOUND, f"no partner {payload}")
    if not offer.text:
        return Outcome(OK)
    withdrawn = offer._replace(text="")
    return _changed(value, value.changed(offers={**value.offers, payload: withdrawn}))


def read_offer(value: ConfigurationValue, payload: str, _zones: Zones) -> Outcome:
    """The offer in force of the partner that the payload names."""
    text = value.offers.get(payload, NO_OFFER).text
    return Outcome(OK, text) if text else Outcome(NOT_FOUND, f"no offer of {payload}")


def _changed(before: ConfigurationValue, after: ConfigurationValue) -> Outcome:
    """The outcome of a change; it withdraws something where the later table lets less through."""
    withdraws = not table_of(before).permissions() <= table_of(after).permissions()
    return Outcome(OK, value=after, withdraws=withdraws)


HANDLERS: dict[str, CommandHandler] = {
    CommandKind.OFFER: put_offer,
    CommandKind.WITHDRAW_OFFER: withdraw_offer,
    CommandKind.READ_OFFER: read_offer,
}
