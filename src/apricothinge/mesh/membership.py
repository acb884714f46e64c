"""Automatic membership changes of the control group, made by its leader.

A member that lost its disk rejoins under a new name. A member that fails
permanently is replaced by an instance that asks to join. The number of voters
is kept odd, so that the group can commit whenever more than half of all members
are live; the member beyond an odd number replicates the log as a learner.
"""

from typing import Final

import msgspec

from apricothinge.control import raft

__all__ = ["live_voters", "next_members"]

# Longer than an election plus the retransmission of a packet.
_FAILURE_TIMEOUT_S: Final = 3.0
_LEARNER_TIMEOUT_S: Final = 10.0
# A group with fewer live voters would not tolerate a further failure.
_MIN_LIVE_VOTERS: Final = 3
_MAX_VOTERS: Final = 7


def next_members(members: raft.Members, silence_s: dict[str, float],
                 caught_up: set[str]) -> raft.Members | None:
    """Decides the next single change of membership.

    Args:
        members: All members by name.
        silence_s: Seconds since the latest response of each; 0 for the leader.
        caught_up: Names of the members that have nearly the whole log.

    Returns:
        The new members, or None if there is nothing to change.
    """
    live = _live(members, silence_s)
    voters = {name for name, member in members.items() if member.voter}
    target = min(_MAX_VOTERS, len(live) if len(live) % 2 else len(live) - 1)
    if len(voters & live) < target:
        ready = sorted((live - voters) & caught_up)
        if ready:
            return _promote(members, ready[0])
    if len(voters & live) >= _MIN_LIVE_VOTERS:
        for name in sorted(voters - live):
            return _remove(members, name)
    for name in sorted(set(members) - voters - live):
        if (silence_s.get(name, 0.0) > _LEARNER_TIMEOUT_S or
                _superseded(name, members, silence_s)):
            return _remove(members, name)
    return None


def live_voters(members: raft.Members, silence_s: dict[str, float]) -> int:
    """Returns the number of voters that responded lately.

    Args:
        members: All members by name.
        silence_s: Seconds since the latest response of each; 0 for the leader.
    """
    live = _live(members, silence_s)
    return sum(members[name].voter for name in live)


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
        if silence_s.get(name, 0.0) < _FAILURE_TIMEOUT_S and
        not _superseded(name, members, silence_s)
    }


def _promote(members: raft.Members, name: str) -> raft.Members:
    changed = dict(members)
    changed[name] = msgspec.structs.replace(members[name], voter=True)
    return changed


def _remove(members: raft.Members, name: str) -> raft.Members:
    changed = dict(members)
    del changed[name]
    return changed
