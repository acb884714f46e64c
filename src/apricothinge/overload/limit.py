"""Concurrency limits for one upstream instance."""

import abc
import math
from typing import Final

__all__ = ["AdaptiveLimit", "ConcurrencyLimit", "FixedLimit"]

_INITIAL_LIMIT: Final = 8.0
_RESTART_LIMIT: Final = 4.0
_MAX_LIMIT: Final = 2000.0
_MIN_LIMIT: Final = 1.0
_WINDOW_S: Final = 0.1
_MAX_WINDOW_S: Final = 1.0
_MIN_WINDOW_SAMPLES: Final = 20
_LATENCY_TOLERANCE: Final = 1.2
_MIN_DECREASE_FACTOR: Final = 0.7
_REFUSAL_DECREASE_FACTOR: Final = 0.85
_SLOW_START_FACTOR: Final = 1.5
_GROWTH_FRACTION: Final = 0.03
_MIN_GROWTH_UTILISATION: Final = 0.8
_MAX_IDLE_UTILISATION: Final = 0.5
_BASELINE_GAIN: Final = 0.1
_MAX_CALL_CLASSES: Final = 64


class ConcurrencyLimit(abc.ABC):
    """Limits the number of calls in flight."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def value(self) -> int:
        """Maximum number of calls in flight, at least 1."""

    @abc.abstractmethod
    def record_response(self, now: float, started_at: float, call_class: str,
                        latency_s: float, in_flight: int) -> None:
        """Records a call that the upstream responded to.

        Args:
            now: Current time in seconds.
            started_at: Time in seconds at which the upstream received the call.
            call_class: Groups calls of similar expected latency.
            latency_s: Latency in seconds, excluding nested calls.
            in_flight: Calls in flight when it started, including itself.
        """

    @abc.abstractmethod
    def record_refusal(self, now: float) -> None:
        """Records that the upstream refused or did not respond to a call."""

    @abc.abstractmethod
    def record_abandoned(self, now: float, started_at: float, call_class: str,
                         elapsed_s: float, in_flight: int) -> None:
        """Records a call whose caller disconnected before the response."""

    @abc.abstractmethod
    def reset(self, now: float) -> None:
        """Discards all measurements after a restart of the upstream."""


class FixedLimit(ConcurrencyLimit):
    """Constant limit for tests and comparisons."""

    __slots__ = ("_value",)

    def __init__(self, value: int) -> None:
        self._value = value

    @property
    def value(self) -> int:
        return self._value

    def record_response(self, now: float, started_at: float, call_class: str,
                        latency_s: float, in_flight: int) -> None:
        del now, started_at, call_class, latency_s, in_flight

    def record_abandoned(self, now: float, started_at: float, call_class: str,
                         elapsed_s: float, in_flight: int) -> None:
        del now, started_at, call_class, elapsed_s, in_flight

    def record_refusal(self, now: float) -> None:
        del now

    def reset(self, now: float) -> None:
        del now


class _ClassWindow:
    """Latency statistics of one class of calls.

    Attributes:
        baseline_s: Mean latency in seconds without queueing; 0 if unknown.
        sum_s: Sum of latencies in the current window, in seconds.
        count: Number of samples in the current window.
    """

    __slots__ = ("baseline_s", "sum_s", "count")

    def __init__(self) -> None:
        self.baseline_s = 0.0
        self.sum_s = 0.0
        self.count = 0


class AdaptiveLimit(ConcurrencyLimit):
    """Adapts the limit to the ratio of latency to the unloaded baseline.

    The ratio is computed per call class, so that a change in the mix of cheap
    and expensive calls is not mistaken for load. Callers must exclude the time
    spent in nested calls from `latency_s`.
    """

    __slots__ = ("_limit", "_window_by_class", "_window_started_at",
                 "_max_in_flight", "_slow_start", "_refusals", "_samples",
                 "_decreased_at")

    def __init__(self, now: float) -> None:
        self._window_by_class: dict[str, _ClassWindow] = {}
        self._limit = _INITIAL_LIMIT
        self._slow_start = True
        self._window_started_at = now
        self._max_in_flight = 0
        self._refusals = 0
        self._samples = 0
        self._decreased_at = -math.inf

    @property
    def value(self) -> int:
        return int(self._limit)

    def baseline_s(self, call_class: str) -> float:
        """Returns the unloaded latency of a class in seconds; 0 if unknown."""
        window = self._window_by_class.get(call_class)
        return 0.0 if window is None else window.baseline_s

    def reset(self, now: float) -> None:
        self._window_by_class.clear()
        self._limit = _RESTART_LIMIT
        self._slow_start = True
        self._open_window(now)

    def record_refusal(self, now: float) -> None:
        self._refusals += 1
        self._samples += 1
        self._close_window_if_due(now)

    def record_response(self, now: float, started_at: float, call_class: str,
                        latency_s: float, in_flight: int) -> None:
        if started_at < self._decreased_at:
            # It ran under the load that the last decrease already reacted to.
            return
        if (call_class not in self._window_by_class and
                len(self._window_by_class) >= _MAX_CALL_CLASSES):
            call_class = ""
        window = self._window_by_class.setdefault(call_class, _ClassWindow())
        window.sum_s += latency_s
        window.count += 1
        self._samples += 1
        self._max_in_flight = max(self._max_in_flight, in_flight)
        self._close_window_if_due(now)

    def record_abandoned(self, now: float, started_at: float, call_class: str,
                         elapsed_s: float, in_flight: int) -> None:
        # The elapsed time is only a lower bound of the latency, so it is
        # informative only if it exceeds the baseline.
        baseline_s = self.baseline_s(call_class)
        if baseline_s and elapsed_s > baseline_s:
            self.record_response(now, started_at, call_class, elapsed_s,
                                 in_flight)

    def _close_window_if_due(self, now: float) -> None:
        age_s = now - self._window_started_at
        if age_s < _WINDOW_S:
            return
        if self._samples < _MIN_WINDOW_SAMPLES and age_s < _MAX_WINDOW_S:
            return
        self._adjust(now)
        self._open_window(now)

    def _open_window(self, now: float) -> None:
        self._window_started_at = now
        self._max_in_flight = 0
        self._refusals = 0
        self._samples = 0
        for window in self._window_by_class.values():
            window.sum_s = 0.0
            window.count = 0

    def _ratio(self) -> float:
        """Returns the sample-weighted mean ratio of latency to baseline."""
        total = 0.0
        count = 0
        idle = self._max_in_flight < self._limit * _MAX_IDLE_UTILISATION
        for window in self._window_by_class.values():
            if not window.count:
                continue
            mean_s = window.sum_s / window.count
            if not window.baseline_s or mean_s < window.baseline_s:
                window.baseline_s = max(mean_s, 1e-6)
            elif idle:
                # Without load, the service itself must have become slower.
                window.baseline_s += _BASELINE_GAIN * (mean_s -
                                                       window.baseline_s)
            total += window.count * mean_s / window.baseline_s
            count += window.count
        return total / count if count else 1.0

    def _adjust(self, now: float) -> None:
        ratio = self._ratio()
        if self._refusals * 20 > self._samples:
            self._decrease(now, _REFUSAL_DECREASE_FACTOR)
            return
        if ratio > _LATENCY_TOLERANCE:
            self._decrease(
                now, max(_MIN_DECREASE_FACTOR, _LATENCY_TOLERANCE / ratio))
            return
        if self._max_in_flight < self._limit * _MIN_GROWTH_UTILISATION:
            return
        growth = (self._limit * (_SLOW_START_FACTOR - 1) if self._slow_start
                  else max(1.0, self._limit * _GROWTH_FRACTION))
        self._limit = min(_MAX_LIMIT, self._limit + growth)

    def _decrease(self, now: float, factor: float) -> None:
        self._slow_start = False
        self._decreased_at = now
        self._limit = max(_MIN_LIMIT, self._limit * factor)
