"""Which package handles which command to the configuration's register."""

from stagevale.configuration import command_handlers as configuration
from stagevale.configuration.commands import CommandHandler, CommandKind

OFFER_KINDS = (CommandKind.OFFER, CommandKind.WITHDRAW_OFFER, CommandKind.READ_OFFER)
ROLLOUT_KINDS = (CommandKind.START_ROLLOUT, CommandKind.MOVE_ROLLOUT)


def find_handler(kind: str) -> CommandHandler | None:
    """The handler of a command, or None for a command that no package knows.

    Offers and rollouts are loaded with the first command about them: most systems have none, and
    loading costs each store start-up time and memory.
    """
    if kind in OFFER_KINDS:
        from stagevale.partners import command_handlers as partners

        return partners.HANDLERS.get(kind)
    if kind in ROLLOUT_KINDS:
        from stagevale.rollouts import command_handlers as rollouts

        return rollouts.HANDLERS.get(kind)
    return configuration.HANDLERS.get(kind)
