"""Prometheus metrics of nodes and control instances.

API keys never appear in labels.
"""

from typing import Any

import prometheus_client

__all__ = ["ControlMetrics", "LabelledMetric", "NodeMetrics"]

_DELAY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 5)


class LabelledMetric:
    """Labelled metric that caches its children.

    The lookup of the library takes a lock and validates each label.
    """

    __slots__ = ("_metric", "_child_by_labels")

    def __init__(self, metric: Any) -> None:
        self._metric = metric
        self._child_by_labels: dict[tuple[str, ...], Any] = {}

    def labels(self, *values: str) -> Any:
        """Returns the child metric for label values."""
        child = self._child_by_labels.get(values)
        if child is None:
            child = self._metric.labels(*values)
            self._child_by_labels[values] = child
        return child


class NodeMetrics:
    """Metrics of a node."""

    __slots__ = ("registry", "calls", "refusals", "call_seconds", "queue_delay",
                 "limit", "upstream_rate_limit", "upstream_cold",
                 "upstream_rejected", "nested_calls_matched",
                 "nested_calls_unmatched", "in_flight", "queued", "retries",
                 "tokens", "revision", "revision_age", "connections", "peers",
                 "loop_lag", "lines_omitted", "token_loans")

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        labels = ["service", "importance"]
        self.calls = LabelledMetric(
            prometheus_client.Counter(
                "apricothinge_calls",
                "Finished calls by place in the call path and status"
                " class.", ["place", "service", "importance", "status"],
                registry=self.registry))
        self.refusals = LabelledMetric(
            prometheus_client.Counter(
                "apricothinge_refusals",
                "Calls that this layer refused or failed, by error kind.",
                ["place", "service", "importance", "kind"],
                registry=self.registry))
        self.call_seconds = LabelledMetric(
            prometheus_client.Histogram(
                "apricothinge_call_seconds",
                "Time that calls spent at the upstream.",
                labels,
                buckets=_DELAY_BUCKETS_S,
                registry=self.registry))
        self.queue_delay = LabelledMetric(
            prometheus_client.Histogram("apricothinge_queue_delay_seconds",
                                        "Queueing time of admitted calls.",
                                        labels,
                                        buckets=_DELAY_BUCKETS_S,
                                        registry=self.registry))
        self.limit = self._gauge("limit", "Concurrency limit of the upstream.")
        self.upstream_rate_limit = self._gauge(
            "upstream_rate_limit",
            "Requests per second that the upstream takes; 0 for no limit.")
        self.upstream_cold = self._gauge(
            "upstream_cold_seconds", "Remaining warm-up time of the upstream.")
        self.upstream_rejected = self._gauge(
            "upstream_rejected_fraction",
            "Fraction of its requests that the upstream rejects unrun.")
        self.nested_calls_matched = self._gauge(
            "nested_calls_matched", "Nested calls whose parent was found.")
        self.nested_calls_unmatched = self._gauge(
            "nested_calls_unmatched",
            "Nested calls whose parent was not found.")
        self.in_flight = self._gauge("in_flight",
                                     "Calls in flight at the upstream.")
        self.queued = self._gauge("queued", "Calls queued for admission.")
        self.retries = LabelledMetric(
            prometheus_client.Counter("apricothinge_retries",
                                      "Retries by service.", ["service"],
                                      registry=self.registry))
        self.tokens = prometheus_client.Gauge(
            "apricothinge_rate_tokens",
            "Available rate tokens by organisation.", ["organisation"],
            registry=self.registry)
        self.token_loans = LabelledMetric(
            prometheus_client.Counter(
                "apricothinge_token_loans",
                "Rounds of asking other nodes for rate tokens, by result.",
                ["result"],
                registry=self.registry))
        self.revision = self._gauge("revision",
                                    "Revision of the configuration in force.")
        self.revision_age = self._gauge(
            "revision_age_seconds",
            "Time since a quorum confirmed the configuration.")
        self.connections = self._gauge("connections",
                                       "Open connections of callers.")
        self.peers = self._gauge("peers", "Peer nodes with an open link.")
        self.loop_lag = self._gauge(
            "loop_lag_seconds", "Delay of the last tick of the event loop.")
        self.lines_omitted = self._gauge("log_lines_omitted",
                                         "Omitted log lines.")

    def _gauge(self, name: str, description: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(f"apricothinge_{name}",
                                       description,
                                       registry=self.registry)

    def render(self) -> bytes:
        """Renders the registry in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)


class ControlMetrics:
    """Metrics of a control instance."""

    __slots__ = ("registry", "term", "is_leader", "commit", "apply_lag",
                 "snapshot", "quorum_age", "members", "live_voters", "nodes",
                 "claims", "changes", "evacuated_domains")

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.term = self._gauge("term", "Current Raft term.")
        self.is_leader = self._gauge("is_leader", "1 on the leader, else 0.")
        self.commit = self._gauge("commit_index",
                                  "Index of the last committed entry.")
        self.apply_lag = self._gauge("apply_lag",
                                     "Committed entries not yet applied.")
        self.snapshot = self._gauge(
            "snapshot_index", "Index of the last "
            "entry in the latest snapshot.")
        self.quorum_age = self._gauge("quorum_age_seconds",
                                      "Time since a quorum was confirmed.")
        self.members = self._gauge("members", "Voting members.")
        self.live_voters = self._gauge(
            "live_voters", "Voting members heard of lately, on the leader.")
        self.nodes = self._gauge("attached_nodes",
                                 "Nodes attached to this instance.")
        self.evacuated_domains = self._gauge("evacuated_domains",
                                             "Evacuated failure domains.")
        self.claims = self._gauge("claims", "Stored idempotency key claims.")
        self.changes = prometheus_client.Counter(
            "apricothinge_control_changes",
            "Configuration changes by outcome.", ["outcome"],
            registry=self.registry)

    def _gauge(self, name: str, description: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(f"apricothinge_control_{name}",
                                       description,
                                       registry=self.registry)

    def render(self) -> bytes:
        """Renders the registry in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)
