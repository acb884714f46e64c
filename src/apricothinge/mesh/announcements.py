"""What the local upstream says of itself in its responses."""

import collections
import re
from typing import Final

from apricothinge import log
from apricothinge.link import frames
from apricothinge.mesh import names
from apricothinge.overload import upstream_rate
from apricothinge.web import messages

__all__ = ["Announcements"]

_RATE: Final = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# A rate that moves by less than this fraction is not published again.
_RATE_CHANGE_THRESHOLD: Final = 0.2
# Each change is sent to all nodes with a link, and through control.
_MIN_CHANGE_INTERVAL_S: Final = 1.0
# Other nodes each send what they know of the upstream.
_MAX_RECALLED_ROWS: Final = 32


class Announcements:
    """Announcements of the current lifetime of the local upstream.

    They are published to other nodes, which return them to a process of this
    node that starts later.

    Attributes:
        leaving: Whether the upstream is about to end.
        rate_limit: Requests per second that it takes, as published; 0 for no
            limit.
    """

    __slots__ = ("leaving", "rate_limit", "_names", "_rate_limiter",
                 "_upstream_id", "_responded", "_recalled_rows",
                 "_published_at")

    def __init__(self, header_names: names.HeaderNames,
                 rate_limiter: upstream_rate.UpstreamRateLimiter) -> None:
        self.leaving = False
        self.rate_limit = 0.0
        self._names = header_names
        self._rate_limiter = rate_limiter
        self._upstream_id = ""
        self._published_at = 0.0
        self._responded = False
        self._recalled_rows: collections.deque[
            frames.UpstreamRow] = collections.deque(maxlen=_MAX_RECALLED_ROWS)

    def start_lifetime(self, now: float, upstream_id: str, born: int) -> None:
        """Forgets the lifetime before, and applies what is known of this one.

        Args:
            now: Loop time in seconds.
            upstream_id: Identifier of the upstream.
            born: Its start time in milliseconds by its own clock.
        """
        self.leaving = False
        self.rate_limit = 0.0
        self._upstream_id = upstream_id
        self._responded = False
        self._rate_limiter.reset()
        for row in self._recalled_rows:
            if (row.upstream_id, row.born) == (upstream_id, born):
                self._apply(now, row)

    def read(self, now: float, headers: messages.Headers) -> bool:
        """Reads the headers of a response of the current lifetime.

        Returns:
            Whether there is something new to publish.
        """
        self._responded = True
        was_leaving = self.leaving
        if messages.header(headers, self._names.leaving) == b"1":
            self.leaving = True
        rate = messages.header(headers, self._names.rate_limit)
        if rate is None:
            self._rate_limiter.handle_no_rate(now)
        elif _RATE.fullmatch(rate):
            self._rate_limiter.set_rate(now, float(rate))
        else:
            log.event("upstream:rate_invalid",
                      upstream=self._upstream_id,
                      rate=repr(rate))
        return self._update_rate_limit(now) or self.leaving != was_leaving

    def recall(self, now: float, row: frames.UpstreamRow,
               is_current: bool) -> bool:
        """Takes over what an earlier process of this node has published.

        Args:
            now: Loop time in seconds.
            row: The upstream as another node knows it.
            is_current: Whether the row is of the current lifetime.

        Returns:
            Whether there is something new to publish.
        """
        self._recalled_rows.append(row)
        return is_current and self._apply(now, row)

    def _apply(self, now: float, row: frames.UpstreamRow) -> bool:
        was_leaving = self.leaving
        self.leaving = self.leaving or row.leaving
        # Responses that this process has read are newer.
        if row.rate_limit and not self._responded:
            self._rate_limiter.set_rate(now, row.rate_limit)
        return self._update_rate_limit(now) or self.leaving != was_leaving

    def _update_rate_limit(self, now: float) -> bool:
        """Returns whether the published rate has changed.

        A limit is published at once, and changes of it not too often.
        """
        rate = self._rate_limiter.rate
        change = abs(rate - self.rate_limit)
        if change <= _RATE_CHANGE_THRESHOLD * min(rate, self.rate_limit):
            return False
        if (self.rate_limit and
                now - self._published_at < _MIN_CHANGE_INTERVAL_S):
            return False
        self._published_at = now
        log.event("upstream:rate_limit",
                  upstream=self._upstream_id,
                  rate=rate,
                  before=self.rate_limit)
        self.rate_limit = rate
        return True
