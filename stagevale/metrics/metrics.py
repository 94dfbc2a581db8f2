"""What a daemon counts of itself; kept as plain numbers, so that a daemon whose metrics nobody
fetches pays next to nothing for them.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from stagevale.runtime.clock import MS_PER_S

# A counter has at most so many values of its label; further ones are counted together.
MOST_LABEL_VALUES = 64
OTHER_VALUES = "other"


class CounterOpts(NamedTuple):
    """What a counter is called.

    Attributes:
        name: without the prefix of this system.
        help: one sentence for who reads it.
        label: the name of the label by which it counts.
    """

    name: str
    help: str
    label: str


class LabelledCounter:
    """Counts events of one kind by the value of one label.

    Attributes:
        opts: its name.
        counts: by the label's value.
    """

    __slots__ = ("opts", "counts")

    def __init__(self, opts: CounterOpts) -> None:
        self.opts = opts
        self.counts: dict[str, int] = {}

    def increment(self, value: str) -> bool:
        """Counts one event with this value of the label.

        Returns:
            True where it is the first one.
        """
        counts = self.counts
        if value not in counts and len(counts) >= MOST_LABEL_VALUES:
            value = OTHER_VALUES
        counts[value] = counts.get(value, 0) + 1
        return counts[value] == 1


class Gauge(NamedTuple):
    """A figure that is read when it is asked for.

    Attributes:
        name: without the prefix of this system; gauges that share it differ in their label's value.
        help: one sentence for who reads it.
        label: the name of its label.
        label_value: the value of its label.
        read: returns the figure.
    """

    name: str
    help: str
    label: str
    label_value: str
    read: Callable[[], float]


ELECTIONS = CounterOpts("elections", "Steps of elections of this daemon's groups.", "step")
REFUSALS = CounterOpts("refusals", "Calls and requests that this daemon refused itself.", "reason")
UNKNOWN_CALLS = CounterOpts("unknown_calls", "Calls of paths that aren't served.", "path")
TALLY_ADDS = CounterOpts(
    "tally_adds", "Adds to tallies that were acknowledged, by how many disks had them.", "copies"
)
DISKS_HELP = "Disks of a group that votes: voters, known lost, how many more may be lost."
QUEUE_HELP = "How many wait."
SERIAL_HELP = "The serial of the configuration value that this daemon has."
AGES_HELP = "Seconds since something befell this daemon's configuration value."
RECOVERY_HELP = "Seconds from the start of the process to a step of its recovery; absent before."


class Metrics:
    """The metrics of one daemon.

    Attributes:
        elections: begun, lost, won, and leaderships ended, by group.
        refusals: by status and reason.
        unknown_calls: by method and path.
        tally_adds: acknowledged, by the copies that were had and wanted.
        recovery_s: seconds since the process started, by the step of recovery that was reached
            then for the first time.
        gauges: figures that are read when they are asked for.
    """

    __slots__ = (
        "elections",
        "refusals",
        "unknown_calls",
        "tally_adds",
        "recovery_s",
        "gauges",
        "_now_ms",
        "_started_ms",
    )

    def __init__(self, now_ms: Callable[[], float]) -> None:
        """Begins to count.

        Args:
            now_ms: the monotonic clock in milliseconds.
        """
        self.elections = LabelledCounter(ELECTIONS)
        self.refusals = LabelledCounter(REFUSALS)
        self.unknown_calls = LabelledCounter(UNKNOWN_CALLS)
        self.tally_adds = LabelledCounter(TALLY_ADDS)
        self.recovery_s: dict[str, float] = {}
        self.gauges: list[Gauge] = []
        self._now_ms = now_ms
        self._started_ms = now_ms()

    def counters(self) -> tuple[LabelledCounter, ...]:
        """All counters."""
        return (self.elections, self.refusals, self.unknown_calls, self.tally_adds)

    def add_queue(self, queue: str, length: Callable[[], int]) -> None:
        """Adds a queue whose length is shown."""
        self.gauges.append(Gauge("queue_length", QUEUE_HELP, "queue", queue, length))

    def add_configuration(
        self, serial: Callable[[], float], ages_s: Mapping[str, Callable[[], float]]
    ) -> None:
        """Adds which configuration value this daemon has, and how old or late it is.

        Args:
            serial: of the value.
            ages_s: figures in seconds, by what they tell.
        """
        self.gauges.append(Gauge("configuration_serial", SERIAL_HELP, "value", "held", serial))
        for what, read in ages_s.items():
            self.gauges.append(Gauge("configuration_seconds", AGES_HELP, "age", what, read))

    def add_disks(self, group: str, counts: Mapping[str, Callable[[], int]]) -> None:
        """Adds what is known of the disks of a group that votes.

        Args:
            group: what it votes on.
            counts: numbers of disks, by what they tell.
        """
        for what, read in counts.items():
            self.gauges.append(Gauge("group_disks", DISKS_HELP, "disks", f"{group}: {what}", read))

    def reached(self, step: str) -> float | None:
        """A step of recovery was reached.

        Returns:
            Seconds since the process started, the first time; None from then on.
        """
        if step in self.recovery_s:
            return None
        elapsed_s = (self._now_ms() - self._started_ms) / MS_PER_S
        self.recovery_s[step] = elapsed_s
        return elapsed_s
