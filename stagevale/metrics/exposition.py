"""The text format of Prometheus, written by `prometheus_client`.

Loaded with the first fetch only: the library takes a quarter of a daemon's memory again.
"""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from stagevale.metrics.metrics import RECOVERY_HELP, Metrics

PREFIX = "stagevale_"


class MetricsCollector(Collector):
    """Shows a daemon's metrics to the library."""

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """See `Collector.collect`."""
        for counter in self.metrics.counters():
            opts = counter.opts
            family = CounterMetricFamily(PREFIX + opts.name, opts.help, labels=[opts.label])
            for value, count in counter.counts.items():
                family.add_metric([value], count)
            yield family
        recovery = GaugeMetricFamily(PREFIX + "recovery_seconds", RECOVERY_HELP, labels=["step"])
        for step, elapsed_s in self.metrics.recovery_s.items():
            recovery.add_metric([step], elapsed_s)
        yield recovery
        yield from self._gauges()

    def _gauges(self) -> Iterator[Metric]:
        families: dict[str, GaugeMetricFamily] = {}
        for gauge in self.metrics.gauges:
            name = PREFIX + gauge.name
            if name not in families:
                families[name] = GaugeMetricFamily(name, gauge.help, labels=[gauge.label])
            families[name].add_metric([gauge.label_value], gauge.read())
        yield from families.values()


def render(metrics: Metrics) -> str:
    """The metrics of a daemon as text."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry).decode()
