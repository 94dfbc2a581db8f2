"""Calls that wait until the event loop has read what had arrived before them."""

from collections.abc import Callable
from typing import Any

from stagevale.runtime.context import Context


def call_after_turns(
    context: Context, turns: int, call: Callable[..., object], *arguments: Any
) -> None:
    """Calls after so many turns of the event loop, each of which reads every socket once; at once
    where there are none to wait for.
    """
    if turns > 0:
        context.call_soon(call_after_turns, context, turns - 1, call, *arguments)
    else:
        call(*arguments)
