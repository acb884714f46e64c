"""Differences between revisions of the lists, for nodes that have one."""

from typing import Final

from apricothinge import lists
from apricothinge.control import rpc_messages as messages

__all__ = ["History", "patch"]

_KEPT: Final = 128


class History:
    """Documents of the last revisions.

    A node that has one of them gets what changed since, others all of it.
    """

    __slots__ = ("_by_revision",)

    def __init__(self) -> None:
        self._by_revision: dict[int, lists.Document] = {}

    def add(self, revision: int, document: lists.Document) -> None:
        """Remembers a revision that came into force."""
        self._by_revision[revision] = document
        for old in [r for r in self._by_revision if r <= revision - _KEPT]:
            del self._by_revision[old]

    def delta(self, since: int, revision: int) -> messages.Delta | None:
        """Returns what changed, or None where the start is not known."""
        old = self._by_revision.get(since)
        new = self._by_revision.get(revision)
        if old is None or new is None:
            return None
        before = old.organisations.organisations
        after = new.organisations.organisations
        return messages.Delta(since, revision, new.organisations.version, {
            name: row for name, row in after.items() if before.get(name) != row
        }, [name for name in before if name not in after],
                              new.plans if new.plans != old.plans else None)


def patch(document: lists.Document, delta: messages.Delta) -> lists.Document:
    """Applies a difference to the lists that it was made from."""
    rows = dict(document.organisations.organisations)
    for name in delta.removed:
        rows.pop(name, None)
    rows.update(delta.organisations)
    organisations = lists.Organisations(version=delta.organisations_version,
                                        organisations=rows)
    return lists.Document(organisations=organisations,
                          plans=delta.plans or document.plans)
