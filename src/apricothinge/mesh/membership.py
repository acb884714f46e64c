"""Who is a member of control and who votes, decided by its leader.

Answers the loss of members: one that lost its disk comes back under a new
name, one that is gone for good is replaced by whoever asks to join. A group
votes with an odd number, so that it can decide whenever more than half of all
members live, and the even one out follows the log as a spare.
"""

from typing import Final

import msgspec

from apricothinge.control import raft

__all__ = ["next_members"]

# Longer than an election and a resent packet.
_FAILURE_TIMEOUT_S: Final = 3.0
_LEARNER_TIMEOUT_S: Final = 10.0
# Below this, a group without its silent members bears no further loss.
_MIN_LIVE_VOTERS: Final = 3
_MAX_VOTERS: Final = 7


def next_members(members: raft.Members, silence_s: dict[str, float],
                 caught_up: set[str]) -> raft.Members | None:
    """Decides the next single change of membership.

    Args:
        members: All members by name.
        silence_s: Seconds since each of them answered; 0 for the leader.
        caught_up: Names of those that have nearly the whole log.

    Returns:
        The new members, or None where nothing is to change.
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


def _superseded(name: str, members: raft.Members,
                silence_s: dict[str, float]) -> bool:
    """Tells whether another name at its address has answered since."""
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
