"""Regions that requests have to stay in."""

from collections.abc import Iterable

__all__ = ["common_homes"]


def common_homes(*home_lists: Iterable[str] | None) -> frozenset[str] | None:
    """Returns the regions that all lists permit.

    Handles requests whose content may not leave some regions, also while these
    have no room: such requests are refused rather than sent elsewhere.

    Args:
        *home_lists: Permitted regions of a route or an organisation; None
            permits any.

    Returns:
        The permitted regions, or None for any.
    """
    common: frozenset[str] | None = None
    for permitted in home_lists:
        if permitted is None:
            continue
        common = (frozenset(permitted)
                  if common is None else common.intersection(permitted))
    return common
