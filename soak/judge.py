"""Judges a run by the rules as the pages write them."""

from soak.evidence import Break, Evidence
from soak.rules import answers, configuration, lost, order_of_endpoints, processes, tallies

RULES = (
    lost.check,
    answers.check,
    order_of_endpoints.check,
    configuration.check,
    processes.check,
    tallies.check,
)


def judge(evidence: Evidence) -> list[Break]:
    """What broke in a run, in the order of its times."""
    breaks = [each for check in RULES for each in check(evidence)]
    return sorted(breaks, key=lambda each: each.at_ms)
