"""What travels with a request besides its body: on which terms it may still be carried out."""

from typing import NamedTuple


class RequestTerms(NamedTuple):
    """On which terms a request may still be carried out.

    Attributes:
        deadline_ms: by this daemon's clock, until when whoever asked first waits; None where that
            isn't known.
        basis_serial: the serial of a value that was committed before whoever asked first can have
            given the request up; None where that isn't known.
    """

    deadline_ms: float | None = None
    basis_serial: int | None = None


NO_TERMS = RequestTerms()
