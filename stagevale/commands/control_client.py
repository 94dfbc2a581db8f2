"""Calls to registries' control addresses."""

from collections.abc import Sequence
from typing import NamedTuple

from stagevale.commands.exit_codes import ExitCode, fail, misuse
from stagevale.diagnostics import api_client
from stagevale.diagnostics.api_client import ApiAnswer
from stagevale.settings.settings import SettingsError, split_address

OK = 200
BAD_REQUEST = 400
# These, and 5xx, say nothing clear: another registry is asked.
RETRIED_STATUSES = (408, 429)
FIRST_SERVER_ERROR = 500
TIMEOUT_S = 10.0
# Changes that wait until leases have run out take longer.
WITHDRAWAL_TIMEOUT_S = 15.0


class ControlCall(NamedTuple):
    """What a call came to.

    Attributes:
        step: which command made it.
        address: of the registry that answered, or was asked last.
        answer: of the registry.
    """

    step: str
    address: str
    answer: ApiAnswer

    @property
    def is_ok(self) -> bool:
        """True where the registry said yes."""
        return self.answer.status == OK


def check_addresses(control: Sequence[str]) -> None:
    """Checks the values of `--control`.

    Raises:
        SettingsError: one isn't ip:port.
    """
    for address in control:
        split_address(address, "--control")


def call_any(
    step: str,
    control: Sequence[str],
    path: str,
    method: str = "GET",
    body: bytes | None = None,
    timeout_s: float = TIMEOUT_S,
) -> ControlCall:
    """Asks one registry after the other until one gives a clear answer.

    Args:
        step: which command asks.
        control: ip:port of each.
        path: with its query.
        method: HTTP's.
        body: to send, or None.
        timeout_s: for each.

    Raises:
        SettingsError: an address isn't ip:port.
    """
    check_addresses(control)
    for address in control:
        answer = api_client.call_api(address, path, timeout_s, method, body)
        if _is_clear(answer.status):
            break
    return ControlCall(step, address, answer)


def _is_clear(status: int | None) -> bool:
    return status is not None and status not in RETRIED_STATUSES and status < FIRST_SERVER_ERROR


def report_failure(call: ControlCall) -> ExitCode:
    """Tells why a call didn't succeed."""
    status, body = call.answer
    reason = body.get("error", body) if isinstance(body, dict) else body
    fail(f"{call.step}: {call.address}: {status or 'no answer'}: {reason}")
    return ExitCode.FINDINGS


def send_order(
    step: str,
    control: Sequence[str],
    path: str,
    done: str,
    method: str,
    body: bytes | None = None,
    timeout_s: float = TIMEOUT_S,
) -> ExitCode:
    """Sends an order and tells its outcome.

    Args:
        step: which command sends it.
        control: ip:port of each registry.
        path: of the call.
        done: what to print when it is done.
        method: HTTP's.
        body: to send, or None.
        timeout_s: for each registry.
    """
    try:
        call = call_any(step, control, path, method, body, timeout_s)
    except SettingsError as error:
        return misuse(f"{step}: {error}")
    if not call.is_ok:
        return report_failure(call)
    print(done)
    return ExitCode.OK


def read_status_page(address: str) -> ApiAnswer:
    """A registry's status page.

    Raises:
        SettingsError: the address isn't ip:port.
    """
    check_addresses([address])
    return api_client.call_api(address, "/v1/stand")
