"""Admission of call trees by the probability that they are served to the end."""

import math
from typing import Final

__all__ = ["RejectionMeter", "admission_probability", "success_probability"]

# Time constant of the measured rejections. Without requests the measured
# fraction falls, so that a service that was avoided is tried again.
_TIME_CONSTANT_S: Final = 1.0
# Requests that a measurement needs to count by half.
_PRIOR_REQUESTS: Final = 5.0
# Retries that the fleet may spend on each call of a service; a little less than
# the retry budget, a part of which goes to lost responses.
_RETRIES_PER_CALL: Final = 0.13
# A tree that is less likely to be served than this costs the services on its
# way more than its callers gain.
_MIN_SUCCESS: Final = 0.15
# Some trees are admitted in any case, as only they show that calls are taken
# again.
_MIN_ADMISSION: Final = 0.05


class RejectionMeter:
    """Measures the fraction of requests that an upstream rejects unrun.

    An upstream may reject requests for reasons of its own, with free slots.
    """

    __slots__ = ("_sent", "_rejected", "_decayed_at")

    def __init__(self, now: float) -> None:
        self._sent = 0.0
        self._rejected = 0.0
        self._decayed_at = now

    def _decay(self, now: float) -> None:
        factor = math.exp((self._decayed_at - now) / _TIME_CONSTANT_S)
        self._decayed_at = now
        self._sent *= factor
        self._rejected *= factor

    def record(self, now: float, rejected: bool) -> None:
        """Counts a request that was sent to the upstream."""
        self._decay(now)
        self._sent += 1.0
        self._rejected += rejected

    def fraction(self, now: float) -> float:
        """Returns the rejected fraction, 0 to 1."""
        self._decay(now)
        return self._rejected / (self._sent + _PRIOR_REQUESTS)


def success_probability(calls: dict[str, float],
                        rejected_fractions: dict[str, float]) -> float:
    """Returns the probability that no call of a tree fails for a rejection.

    Args:
        calls: Calls of the tree by service, including the first one.
        rejected_fractions: Fraction of calls that each service rejects. Those
            of services that are not listed are taken to be 0.
    """
    probability = 1.0
    for service, count in calls.items():
        rejected = rejected_fractions.get(service, 0.0)
        if rejected > 0.0:
            taken = (1.0 - rejected) * (1.0 + min(rejected, _RETRIES_PER_CALL))
            probability *= max(0.0, min(1.0, taken))**count
    return probability


def admission_probability(calls: dict[str, float],
                          rejected_fractions: dict[str, float]) -> float:
    """Returns the probability with which to admit a tree.

    Handles a deep service that rejects a part of its calls. A tree of eight
    calls to it is hardly ever served, while it uses up the retry budget and
    the capacity of all services above, which other trees could use.

    Args:
        calls: As in `success_probability`.
        rejected_fractions: As in `success_probability`.
    """
    success = success_probability(calls, rejected_fractions)
    return min(1.0, max(_MIN_ADMISSION, success / _MIN_SUCCESS))
