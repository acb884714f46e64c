"""How control divides the leased part of each organisation's rate."""

from typing import Final

from apricothinge.mesh import holdings

__all__ = ["Allocator"]

_LEASED_PART: Final = 1.0 - holdings.FLOOR_PART
# Of the leased part, this much is divided evenly: demand moves faster than
# grants do.
_EVEN_PART: Final = 0.3
# Smaller changes of a grant are not worth a message.
_CHANGE: Final = 0.1
_IDLE_PER_S: Final = 0.05


class _Holder:
    """What the allocator knows of one node.

    Attributes:
        incarnation: Of its process.
        heard_at: Time in seconds of its last report.
        held: Parts that it says it may use.
        granted: Parts that it was told to use.
        demand: Requests per second.
        sequence: Number of the latest grant.
        applied: Number of the latest grant that it has applied.
        attached: Whether it can be told.
    """

    __slots__ = ("incarnation", "heard_at", "held", "granted", "demand",
                 "sequence", "applied", "attached")

    def __init__(self, incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self.heard_at = now
        self.held: dict[str, float] = {}
        self.granted: dict[str, float] | None = None
        self.demand: dict[str, float] = {}
        self.sequence = 0
        self.applied = 0
        self.attached = True

    def bound(self, name: str) -> float:
        """The most that the node may be using."""
        held = self.held.get(name, 0.0)
        if self.granted is None or self.applied >= self.sequence:
            return held
        return max(held, self.granted.get(name, 0.0))


class Allocator:
    """Moves parts of rates to where the demand is.

    A part that was taken from one node is given to another one only after
    the first has reported that it uses it no more, or when its lease is over.
    """

    __slots__ = ("_holder_by_instance", "_unknown_until", "_sequence")

    def __init__(self, now: float, *, fresh: bool) -> None:
        """Starts with the leadership.

        Args:
            now: Time in seconds, on a clock that runs during suspension.
            fresh: Whether no leader before can have granted anything.
        """
        self._holder_by_instance: dict[str, _Holder] = {}
        self._unknown_until = now if fresh else now + holdings.LEASE_S
        self._sequence = 0

    @property
    def nodes(self) -> int:
        """Nodes that share the floors."""
        return len(self._holder_by_instance)

    def attached(self, now: float, instance: str, incarnation: int) -> None:
        """Takes in a node that has attached."""
        holder = self._holder_by_instance.get(instance)
        if holder is None or holder.incarnation != incarnation:
            # A process that has ended uses nothing.
            holder = _Holder(incarnation, now)
            self._holder_by_instance[instance] = holder
        holder.attached = True
        holder.granted = None
        holder.sequence = 0
        holder.applied = 0

    def detached(self, instance: str) -> None:
        """Takes in that a node can not be told anything now."""
        holder = self._holder_by_instance.get(instance)
        if holder is not None:
            holder.attached = False

    def left(self, instance: str) -> None:
        """Takes in that a node's process has ended."""
        self._holder_by_instance.pop(instance, None)

    def report(self, now: float, instance: str, applied: int,
               held: dict[str, float] | None,
               demand: dict[str, float] | None) -> None:
        """Takes in a node's report; None for what has not changed."""
        holder = self._holder_by_instance.get(instance)
        if holder is None:
            return
        holder.heard_at = now
        if held is not None:
            holder.held = held
        if demand is not None:
            holder.demand = demand
        holder.applied = max(holder.applied, applied)

    def expire(self, now: float) -> None:
        """Forgets nodes whose leases are over."""
        for instance, holder in list(self._holder_by_instance.items()):
            if (not holder.attached and
                    now - holder.heard_at > holdings.LEASE_S):
                del self._holder_by_instance[instance]

    def _free(self, now: float, name: str) -> float:
        used = sum(
            holder.bound(name) for holder in self._holder_by_instance.values())
        if now < self._unknown_until:
            # Somebody who has not reported yet may hold the rest.
            return 0.0
        return max(0.0, _LEASED_PART - used)

    def step(self, now: float, names: list[str]) -> list[str]:
        """Decides new grants.

        Args:
            now: Time in seconds.
            names: The organisations.

        Returns:
            The nodes whose grants have changed.
        """
        changed: set[str] = set()
        told = {
            instance: holder
            for instance, holder in self._holder_by_instance.items()
            if holder.attached
        }
        if not told:
            return []
        grants: dict[str, dict[str, float]] = {
            instance: dict(holder.held if holder.granted is None else
                           holder.granted) for instance, holder in told.items()
        }
        for name in names:
            free = self._free(now, name)
            weights = {
                instance: holder.demand.get(name, 0.0) + _IDLE_PER_S
                for instance, holder in told.items()
            }
            total = sum(weights.values())
            for instance, holder in told.items():
                wanted = _LEASED_PART * (
                    _EVEN_PART / len(told) +
                    (1.0 - _EVEN_PART) * weights[instance] / total)
                now_granted = grants[instance].get(name, 0.0)
                if wanted > now_granted:
                    given = min(wanted - now_granted, free)
                    if given < _CHANGE * wanted:
                        continue
                    free -= given
                    grants[instance][name] = now_granted + given
                elif wanted < now_granted * (1.0 - _CHANGE):
                    grants[instance][name] = wanted
                else:
                    continue
                changed.add(instance)
        for instance in changed:
            self._sequence += 1
            told[instance].granted = grants[instance]
            told[instance].sequence = self._sequence
        return sorted(changed)

    def grant(self, instance: str) -> tuple[int, dict[str, float]] | None:
        """Returns the latest grant of a node with its number."""
        holder = self._holder_by_instance.get(instance)
        if holder is None or holder.granted is None:
            return None
        return holder.sequence, holder.granted
