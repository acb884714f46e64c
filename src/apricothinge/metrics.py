"""The metrics of a process, in one registry; never labelled by key."""

from typing import Any

import prometheus_client

__all__ = ["ControlMetrics", "LabelledMetric", "NodeMetrics"]

_DELAY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 5)


class LabelledMetric:
    """A labelled metric that remembers its children.

    Looking a child up in the library takes a lock and checks each label.
    """

    __slots__ = ("_metric", "_child_by_labels")

    def __init__(self, metric: Any) -> None:
        self._metric = metric
        self._child_by_labels: dict[tuple[str, ...], Any] = {}

    def labels(self, *values: str) -> Any:
        """Returns the child for label values."""
        child = self._child_by_labels.get(values)
        if child is None:
            child = self._metric.labels(*values)
            self._child_by_labels[values] = child
        return child


class NodeMetrics:
    """What a node counts and measures."""

    __slots__ = ("registry", "calls", "refusals", "call_seconds", "queue_delay",
                 "limit", "in_flight", "queued", "retries", "tokens",
                 "revision", "revision_age", "connections", "peers", "loop_lag",
                 "lines_omitted")

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        labels = ["service", "importance"]
        self.calls = LabelledMetric(
            prometheus_client.Counter(
                "apricothinge_calls",
                "Calls by place in the path and class of status.",
                ["place", "service", "importance", "status"],
                registry=self.registry))
        self.refusals = LabelledMetric(
            prometheus_client.Counter(
                "apricothinge_refusals",
                "Calls that ended with an error of this layer.",
                ["place", "service", "importance", "kind"],
                registry=self.registry))
        self.call_seconds = LabelledMetric(
            prometheus_client.Histogram("apricothinge_call_seconds",
                                        "Time of calls at the upstream.",
                                        labels,
                                        buckets=_DELAY_BUCKETS_S,
                                        registry=self.registry))
        self.queue_delay = LabelledMetric(
            prometheus_client.Histogram("apricothinge_queue_delay_seconds",
                                        "Time that admitted calls waited.",
                                        labels,
                                        buckets=_DELAY_BUCKETS_S,
                                        registry=self.registry))
        self.limit = self._gauge("limit", "Calls that the upstream is given.")
        self.in_flight = self._gauge("in_flight", "Calls at the upstream.")
        self.queued = self._gauge("queued", "Calls that wait for admission.")
        self.retries = LabelledMetric(
            prometheus_client.Counter("apricothinge_retries",
                                      "Retries by service.", ["service"],
                                      registry=self.registry))
        self.tokens = prometheus_client.Gauge(
            "apricothinge_rate_tokens",
            "Rate tokens at hand, by organisation.", ["organisation"],
            registry=self.registry)
        self.revision = self._gauge("revision", "Configuration in force.")
        self.revision_age = self._gauge(
            "revision_age_seconds",
            "Time since a quorum confirmed the configuration.")
        self.connections = self._gauge("connections", "Callers connected.")
        self.peers = self._gauge("peers", "Other nodes with a link.")
        self.loop_lag = self._gauge("loop_lag_seconds",
                                    "How late the loop ran its last tick.")
        self.lines_omitted = self._gauge("log_lines_omitted",
                                         "Log lines left out.")

    def _gauge(self, name: str, description: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(f"apricothinge_{name}",
                                       description,
                                       registry=self.registry)

    def render(self) -> bytes:
        """Renders the registry in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)


class ControlMetrics:
    """What a control instance counts and measures."""

    __slots__ = ("registry", "term", "is_leader", "commit", "apply_lag",
                 "snapshot", "quorum_age", "members", "nodes", "claims",
                 "changes")

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.term = self._gauge("term", "Current term.")
        self.is_leader = self._gauge("is_leader", "1 on the leader.")
        self.commit = self._gauge("commit_index", "Last committed entry.")
        self.apply_lag = self._gauge("apply_lag",
                                     "Committed entries not yet applied.")
        self.snapshot = self._gauge("snapshot_index", "Last entry of the "
                                    "latest snapshot.")
        self.quorum_age = self._gauge("quorum_age_seconds",
                                      "Time since a quorum was confirmed.")
        self.members = self._gauge("members", "Voting members.")
        self.nodes = self._gauge("attached_nodes", "Nodes attached here.")
        self.claims = self._gauge("claims", "Idempotency keys held.")
        self.changes = prometheus_client.Counter(
            "apricothinge_control_changes",
            "Changes of configuration by outcome.", ["outcome"],
            registry=self.registry)

    def _gauge(self, name: str, description: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(f"apricothinge_control_{name}",
                                       description,
                                       registry=self.registry)

    def render(self) -> bytes:
        """Renders the registry in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)
