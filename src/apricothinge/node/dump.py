"""Dump of the state of a node for operators."""

import msgspec

from apricothinge.node import state

__all__ = ["NodeDump", "RatesDump", "dump"]


class UpstreamDump(msgspec.Struct):
    """State of one upstream instance as seen by the node."""

    instance: str
    service: str
    failure_domain: str
    peer: str
    draining: bool
    outstanding: int
    latency_ms: float
    admitted_part: float
    ejected_for_s: float


class LocalDump(msgspec.Struct):
    """State of the local upstream."""

    service: str
    address: str
    up: bool
    draining: bool
    limit: int
    in_flight: int
    queued: int
    queue_delay_ms: float
    crashes: int


class RatesDump(msgspec.Struct):
    """State of rate limiting.

    Attributes:
        held: Tokens available to calls on this node, by organisation.
        owned: Ungranted tokens of the shares that this node owns.
        owners: Processes to request tokens from, in order, by organisation.
        messages: Number of token requests sent to other nodes.
    """

    held: dict[str, float]
    owned: dict[str, float]
    owners: dict[str, list[str]]
    messages: int


class NodeDump(msgspec.Struct):
    """State of a node; contains neither keys nor their hashes."""

    instance: str
    failure_domain: str
    draining: bool
    revision: int
    confirmed_ago_s: float | None
    stale: bool
    local: LocalDump
    upstreams: list[UpstreamDump]
    calls: int
    entry_levels: dict[str, float]
    suspects: dict[str, int]
    rates: RatesDump
    control: str | None
    first_attempts: int
    retries: int


def dump(node_state: state.NodeState, now: float, rates: RatesDump,
         control: str | None) -> NodeDump:
    """Creates a dump.

    Args:
        node_state: State of the node.
        now: Loop time in seconds.
        rates: State of rate limiting.
        control: Address of the control instance while attached, or None.
    """
    local = node_state.local
    age_s = (None if node_state.confirmed_at is None else now -
             node_state.confirmed_at)
    return NodeDump(
        instance=node_state.settings.instance,
        failure_domain=node_state.settings.failure_domain,
        draining=node_state.draining,
        revision=-1
        if node_state.compiled is None else node_state.compiled.revision,
        confirmed_ago_s=age_s,
        stale=node_state.is_stale(now),
        local=LocalDump(local.service, str(local.address), local.up,
                        local.draining, local.admission_controller.limit.value,
                        local.admission_controller.in_flight,
                        local.admission_controller.queued,
                        local.admission_controller.queue_delay_s * 1000,
                        local.crash_count),
        upstreams=[
            UpstreamDump(row.instance, row.service, row.failure_domain,
                         str(row.peer), row.draining, row.outstanding,
                         row.latency_s * 1000, row.admitted_fraction,
                         max(0.0, row.ejected_until - now))
            for row in node_state.router.by_instance.values()
        ],
        calls=len(node_state.calls_by_token),
        entry_levels=node_state.entry_throttle.throttled_flows(),
        suspects=node_state.crashes.crash_counts(),
        rates=rates,
        control=control,
        first_attempts=node_state.retry_cap.first_attempts,
        retries=node_state.retry_cap.retries)
