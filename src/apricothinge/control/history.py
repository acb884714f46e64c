"""Deltas between revisions of the lists."""

from typing import Final

from apricothinge import lists
from apricothinge.control import rpc_messages as messages

__all__ = ["RevisionHistory", "apply_delta"]

_MAX_REVISIONS: Final = 128


class RevisionHistory:
    """Documents of the most recent revisions.

    A node that has one of these revisions is sent a delta; any other node is
    sent the whole document.
    """

    __slots__ = ("_document_by_revision",)

    def __init__(self) -> None:
        self._document_by_revision: dict[int, lists.Document] = {}

    def add(self, revision: int, document: lists.Document) -> None:
        """Adds a revision that came into force, and drops the oldest ones."""
        self._document_by_revision[revision] = document
        for old in [
                r for r in self._document_by_revision
                if r <= revision - _MAX_REVISIONS
        ]:
            del self._document_by_revision[old]

    def delta(self, since: int, revision: int) -> messages.Delta | None:
        """Returns the delta between two revisions, None if one is unknown."""
        old = self._document_by_revision.get(since)
        new = self._document_by_revision.get(revision)
        if old is None or new is None:
            return None
        before = old.organisations.organisations
        after = new.organisations.organisations
        return messages.Delta(since, revision, new.organisations.version, {
            name: row for name, row in after.items() if before.get(name) != row
        }, [name for name in before if name not in after],
                              new.plans if new.plans != old.plans else None)


def apply_delta(document: lists.Document,
                delta: messages.Delta) -> lists.Document:
    """Applies a delta to the document of the revision it starts from."""
    rows = dict(document.organisations.organisations)
    for name in delta.removed:
        rows.pop(name, None)
    rows.update(delta.organisations)
    organisations = lists.Organisations(version=delta.organisations_version,
                                        organisations=rows)
    return lists.Document(organisations=organisations,
                          plans=delta.plans or document.plans)
