"""The steps of a daemon's recovery after a start, as metrics and log lines name them."""

import enum

from stagevale.runtime.context import Context


class RecoveryStep(enum.StrEnum):
    """What a daemon has to reach after a start before it serves again."""

    VOTE_LOADED = "vote loaded"
    LEADER_CONFIRMED = "leader confirmed"
    CONFIGURATION_CONFIRMED = "configuration confirmed"
    FED = "fed by a registry"
    READY = "ready to serve"


def record_recovery(context: Context, group: str, step: RecoveryStep) -> None:
    """Records the first time that a step is reached, in the metrics and in the log.

    Args:
        context: the daemon's.
        group: the daemon, or which of its consensus groups.
        step: what was reached.
    """
    elapsed_s = context.metrics.reached(f"{group}: {step}")
    if elapsed_s is not None:
        context.log.info("%s: %s %.2f s after the start.", group, step, elapsed_s)
