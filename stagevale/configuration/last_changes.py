"""When a command last changed each subject, by which a late copy of a command is recognised."""

from stagevale.configuration.commands import Subject


class LastChanges:
    """The serials at which commands have last changed their subjects, as a leader knows them.

    A leader knows the changes of its own leadership. Of earlier ones it knows that none has a higher
    serial than the value that it began with, so that one stands for all of them.
    """

    __slots__ = ("_first_serial", "_serials")

    def __init__(self) -> None:
        self._first_serial = 0
        self._serials: dict[Subject, int] = {}

    def reset(self, serial: int) -> None:
        """A leadership begins with the value of this serial."""
        self._first_serial = serial
        self._serials = {}

    def record(self, subject: Subject, serial: int) -> None:
        """A command has changed the subject; the value with the change has this serial."""
        self._serials[subject] = serial

    def changed_since(self, subject: Subject, serial: int) -> bool:
        """True where the subject was, or may have been, changed after the value of this serial."""
        return self._serials.get(subject, self._first_serial) > serial
