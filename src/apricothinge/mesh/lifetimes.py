"""Lifetimes of the upstream of a node, and what its check-ins say of them."""

import enum
from typing import Final

__all__ = ["CheckIn", "Lifetimes", "Verdict"]

_MAX_DEPARTED: Final = 64
# The clock of a machine may have been set back between two lifetimes, so the
# later one may name the earlier start. Late check-ins of a past lifetime are
# few, and come while the current one checks in as well.
_RIVAL_CHECK_INS: Final = 3
_RIVAL_MIN_S: Final = 2.0


class CheckIn:
    """State that an upstream reports periodically to its node.

    Attributes:
        upstream_id: Identifier of the upstream.
        born: Start time in milliseconds by the upstream's wall clock.
        sequence: Increases with each check-in of a lifetime.
        service: Name of its service.
        address: "IP:port" at which it listens.
        slots: Number of requests that it runs concurrently.
        draining: Whether it accepts no new requests.
        cold_s: Remaining warm-up time in seconds.
    """

    __slots__ = ("upstream_id", "born", "sequence", "service", "address",
                 "slots", "draining", "cold_s")

    def __init__(self, upstream_id: str, born: int, sequence: int, service: str,
                 address: str, slots: int, draining: bool,
                 cold_s: float) -> None:
        self.upstream_id = upstream_id
        self.born = born
        self.sequence = sequence
        self.service = service
        self.address = address
        self.slots = slots
        self.draining = draining
        self.cold_s = cold_s

    @property
    def lifetime(self) -> tuple[str, int]:
        """Identifier and start time, which tell lifetimes apart."""
        return (self.upstream_id, self.born)


class Verdict(enum.Enum):
    """What a check-in is, relative to those before it.

    Attributes:
        STARTED: The first of a lifetime that replaces the current one.
        CURRENT: News of the current lifetime.
        OVERTAKEN: Older than what its lifetime has said already.
        UNCERTAIN: Not in force. Either of a lifetime that started before the
            current one, which may be late or have its clock set back; or a
            `draining` older than a `ready` of its lifetime.
    """

    STARTED = "started"
    CURRENT = "current"
    OVERTAKEN = "overtaken"
    UNCERTAIN = "uncertain"


class Lifetimes:
    """Tells the lifetimes of the upstream of a node apart.

    A lifetime is identified by the identifier of the upstream and its start
    time, as an upstream may start again under its identifier. Within a
    lifetime, departure is final: whatever arrives later, in whichever order,
    does not revoke it.

    Attributes:
        current: Latest check-in of the current lifetime, or None.
    """

    __slots__ = ("current", "_departed_until_by_id", "_rival", "_rival_since",
                 "_rival_count")

    def __init__(self) -> None:
        self.current: CheckIn | None = None
        # Lifetimes under one identifier follow one another, so those that
        # started before a departed one have ended as well.
        self._departed_until_by_id: dict[str, int] = {}
        self._rival: CheckIn | None = None
        self._rival_since = 0.0
        self._rival_count = 0

    def is_current(self, lifetime: tuple[str, int]) -> bool:
        """Returns whether a lifetime is the current one."""
        return self.current is not None and self.current.lifetime == lifetime

    def has_departed(self, lifetime: tuple[str, int]) -> bool:
        """Returns whether a lifetime drains or has ended."""
        upstream_id, born = lifetime
        return born <= self._departed_until_by_id.get(upstream_id, -1)

    def apply(self, now: float, check_in: CheckIn) -> Verdict:
        """Applies a check-in unless an earlier one goes before it.

        The check-in is changed to `draining` if its lifetime has departed.

        Args:
            now: Time in seconds.
            check_in: The check-in.
        """
        verdict = self._judge(now, check_in)
        if check_in.draining and verdict is not Verdict.UNCERTAIN:
            self._record_departure(*check_in.lifetime)
        if verdict in (Verdict.STARTED, Verdict.CURRENT):
            check_in.draining = self.has_departed(check_in.lifetime)
            self.current = check_in
            self._rival = None
        return verdict

    def _judge(self, now: float, check_in: CheckIn) -> Verdict:
        current = self.current
        if current is None:
            return Verdict.STARTED
        if self.is_current(check_in.lifetime):
            if check_in.sequence > current.sequence:
                return Verdict.CURRENT
            if check_in.draining and not current.draining:
                return Verdict.UNCERTAIN
            return Verdict.OVERTAKEN
        if check_in.born > current.born:
            return Verdict.STARTED
        if self.has_departed(check_in.lifetime):
            return Verdict.OVERTAKEN
        return self._judge_rival(now, check_in)

    def _judge_rival(self, now: float, check_in: CheckIn) -> Verdict:
        """Judges a check-in of a lifetime that started before the current one.

        It replaces the current one if it goes on checking in while that one is
        silent.
        """
        rival = self._rival
        if rival is None or rival.lifetime != check_in.lifetime:
            self._rival_since = now
            self._rival_count = 0
        elif check_in.sequence <= rival.sequence:
            return Verdict.UNCERTAIN
        self._rival = check_in
        self._rival_count += 1
        if (self._rival_count >= _RIVAL_CHECK_INS and
                now - self._rival_since >= _RIVAL_MIN_S):
            return Verdict.STARTED
        return Verdict.UNCERTAIN

    def depart(self, lifetime: tuple[str, int]) -> bool:
        """Records that a lifetime drains or has ended.

        Returns:
            Whether the current lifetime has departed with this.
        """
        self._record_departure(*lifetime)
        current = self.current
        if (current is None or current.draining or
                not self.has_departed(current.lifetime)):
            return False
        current.draining = True
        return True

    def depart_unheard(self, upstream_id: str, now_ms: int) -> None:
        """Records that an upstream without any check-in so far has ended.

        Args:
            upstream_id: Its identifier.
            now_ms: The current time in milliseconds; lifetimes that start later
                are not affected.
        """
        self._record_departure(upstream_id, now_ms)

    def _record_departure(self, upstream_id: str, born: int) -> None:
        by_id = self._departed_until_by_id
        by_id[upstream_id] = max(born, by_id.pop(upstream_id, born))
        if len(by_id) > _MAX_DEPARTED:
            del by_id[next(iter(by_id))]
