"""The state of a node as an operator reads it."""

import msgspec

from apricothinge.node import state

__all__ = ["NodeDump", "RatesDump", "dump"]


class UpstreamDump(msgspec.Struct):
    """One row of the table of upstreams."""

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
    """The upstream beside the node."""

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
    """Tokens of rates.

    Attributes:
        held: Tokens that calls here may spend, by organisation.
        owned: Tokens of the shares that this node hands out.
        owners: Processes to ask, in order, by organisation.
        messages: Requests for tokens that were sent.
    """

    held: dict[str, float]
    owned: dict[str, float]
    owners: dict[str, list[str]]
    messages: int


class NodeDump(msgspec.Struct):
    """Everything that a node decides by; never a key or its hash."""

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
    """Takes a dump of a node's tables.

    Args:
        node_state: The node's tables.
        now: Loop time in seconds.
        rates: What the gate says of itself.
        control: Address of the control instance, while attached.
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
                        local.draining, local.admission.limit.value,
                        local.admission.in_flight, local.admission.queued,
                        local.admission.queue_delay_s * 1000,
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
