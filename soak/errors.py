"""Why a run can't begin or go on."""


class SoakError(Exception):
    """A run that can't be made; it says nothing about the programs."""


class MemoryLimitError(SoakError):
    """The run would take, or takes, more than half of the machine's memory."""


class FormationError(SoakError):
    """The deployment didn't come up."""
