"""Automatic membership changes of the control group, made by its leader.

A member that lost its disk rejoins under a new name. A member that stops or
fails gives its vote to one that only follows. The number of voters is kept odd,
so that the group can commit whenever more than half of all members are live;
the member beyond an odd number replicates the log as a learner. While a
successor and the instance that it replaces both run, both vote, so that the
group is still complete as soon as one of them has gone.
"""

from collections.abc import Set
import math
from typing import Final

import msgspec

from apricothinge.control import raft

__all__ = ["has_usable_learner", "live_voters", "min_voters", "next_members"]

# Longer than an election.
_MAX_SILENCE_S: Final = 1.5
# A voter that was silent for less keeps its place as a learner.
_REMOVAL_TIMEOUT_S: Final = 3.0
_LEARNER_TIMEOUT_S: Final = 10.0
# A successor whose predecessor still runs after this long is a further instance.
_SUCCESSION_TIMEOUT_S: Final = 60.0
_MAX_VOTERS: Final = 7


def next_members(members: raft.Members,
                 silence_s: dict[str, float],
                 caught_up: Set[str],
                 *,
                 stopping: Set[str] = frozenset(),
                 tracked_s: dict[str, float] | None = None,
                 max_lost: int = 1) -> raft.Members | None:
    """Decides the next single change of membership.

    Args:
        members: All members by name.
        silence_s: Seconds since the latest response of each; 0 for the leader.
        caught_up: Names of the members that have nearly the whole log.
        stopping: Names of the members whose process is being stopped.
        tracked_s: Seconds for which this leader has known each member; None
            for a new leader.
        max_lost: Number of members whose loss the group has to tolerate.

    Returns:
        The new members, or None if there is nothing to change.
    """
    usable = _live(members, silence_s) - stopping
    voters = {name for name, member in members.items() if member.voter}
    required = min_voters(max_lost)
    # A complete group stays so even if few of its members are usable.
    target = max(_target_voters(members, usable, tracked_s or {}),
                 min(required, len(voters)))
    if len(voters & usable) < target:
        ready = sorted((usable - voters) & caught_up)
        if ready:
            return _promote(members, ready[0])
    # An odd group tolerates as many losses as the next larger, even one.
    is_surplus = len(voters) % 2 == 0 and len(voters) > required
    if is_surplus or len(voters & usable) >= required:
        unusable = voters - usable
        if unusable:
            # One that stops still helps to commit the change.
            return _take_vote(members, unusable, silence_s)
    if is_surplus and len(voters) > target:
        return _take_vote(members, voters, silence_s)
    for name in sorted(set(members) - voters - usable - stopping):
        if (silence_s.get(name, 0.0) > _LEARNER_TIMEOUT_S or
                _superseded(name, members, silence_s)):
            return _remove(members, name)
    return None


def min_voters(max_lost: int) -> int:
    """Returns how many voters a group has at least, once it is complete.

    Args:
        max_lost: Number of members whose loss the group has to tolerate.
    """
    return min(_MAX_VOTERS, 2 * max(1, max_lost) + 1)


def has_usable_learner(members: raft.Members, silence_s: dict[str, float],
                       stopping: Set[str]) -> bool:
    """Returns whether a member could be promoted now or once it has caught up.

    Args:
        members: All members by name.
        silence_s: Seconds since the latest response of each; 0 for the leader.
        stopping: Names of the members whose process is being stopped.
    """
    return any(not members[name].voter
               for name in _live(members, silence_s) - stopping)


def live_voters(members: raft.Members, silence_s: dict[str, float]) -> int:
    """Returns the number of voters that responded lately.

    Args:
        members: All members by name.
        silence_s: Seconds since the latest response of each; 0 for the leader.
    """
    live = _live(members, silence_s)
    return sum(members[name].voter for name in live)


def _target_voters(members: raft.Members, usable: Set[str],
                   tracked_s: dict[str, float]) -> int:
    """Returns how many of the usable members should vote."""
    count = min(_MAX_VOTERS, len(usable))
    if count % 2:
        return count
    is_replacement = any(members[name].successor and
                         tracked_s.get(name, 0.0) < _SUCCESSION_TIMEOUT_S
                         for name in usable)
    return count if is_replacement else max(0, count - 1)


def _superseded(name: str, members: raft.Members,
                silence_s: dict[str, float]) -> bool:
    """Tells whether another member at its address responded more recently."""
    member = members[name]
    return any(other != name and found.address == member.address and
               silence_s.get(other, 0.0) < silence_s.get(name, 0.0)
               for other, found in members.items())


def _live(members: raft.Members, silence_s: dict[str, float]) -> set[str]:
    return {
        name for name in members
        if silence_s.get(name, 0.0) < _MAX_SILENCE_S and
        not _superseded(name, members, silence_s)
    }


def _absence_s(name: str, members: raft.Members,
               silence_s: dict[str, float]) -> float:
    """Returns how long a member has been silent; infinite if superseded."""
    if _superseded(name, members, silence_s):
        return math.inf
    return silence_s.get(name, 0.0)


def _promote(members: raft.Members, name: str) -> raft.Members:
    changed = dict(members)
    changed[name] = msgspec.structs.replace(members[name], voter=True)
    return changed


def _take_vote(members: raft.Members, candidates: Set[str],
               silence_s: dict[str, float]) -> raft.Members:
    """Removes the most silent voter, or makes it a learner if it may return.

    Any succession is complete then.
    """
    absence_s = {
        name: _absence_s(name, members, silence_s) for name in candidates
    }
    # The leader, whose silence is 0, is the last to go.
    name = max(sorted(candidates), key=absence_s.__getitem__)
    changed = {
        other: msgspec.structs.replace(member, successor=False)
        for other, member in members.items()
    }
    if absence_s[name] >= _REMOVAL_TIMEOUT_S:
        return _remove(changed, name)
    changed[name] = msgspec.structs.replace(changed[name], voter=False)
    return changed


def _remove(members: raft.Members, name: str) -> raft.Members:
    changed = dict(members)
    del changed[name]
    return changed
