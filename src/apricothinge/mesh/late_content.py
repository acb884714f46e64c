"""Content of a response that is still arriving at the deadline."""

import asyncio
from typing import Final

from apricothinge.web import client
from apricothinge.web import messages

__all__ = ["limit"]

# Content that arrives as fast as it is read is hardly waited for.
_MAX_LATE_BYTES: Final = 4 << 20


def limit(response: messages.Response, deadline: float, late_s: float) -> None:
    """Makes content fail that goes on for too long after a deadline.

    Only waits after the deadline count, in all, so that content ends whether it
    stops arriving or arrives in pieces without end. A reader that is slow does
    not wait. Without a declared length, the bytes read after it count as well.

    Args:
        response: The response; its content is replaced if there is more to
            come.
        deadline: Loop time in seconds.
        late_s: Seconds that may be waited after it.
    """
    content = response.rest
    if content is not None:
        late = _LateContent(content, response.length, deadline, late_s)
        response.rest = messages.Content(late.read,
                                         lambda complete: content.close())


class _LateContent:
    """Reads content until it is too late."""

    __slots__ = ("_content", "_bounded", "_deadline", "_remaining_s",
                 "_remaining_bytes", "_loop")

    def __init__(self, content: messages.Content, length: int | None,
                 deadline: float, late_s: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._content = content
        self._bounded = length is not None
        self._deadline = deadline
        self._remaining_s = late_s
        self._remaining_bytes = _MAX_LATE_BYTES

    async def read(self) -> bytes:
        """Returns the next chunk, or empty bytes at the end of the content.

        Raises:
            client.ExchangeFailed: The content did not end in time.
        """
        started_at = max(self._deadline, self._loop.time())
        try:
            async with asyncio.timeout_at(started_at + self._remaining_s):
                chunk = await anext(self._content, b"")
        except TimeoutError:
            raise self._failure() from None
        now = self._loop.time()
        if now > self._deadline:
            self._remaining_s -= max(0.0, now - started_at)
            self._remaining_bytes -= len(chunk)
            if not self._bounded and self._remaining_bytes < 0:
                raise self._failure()
        return chunk

    @staticmethod
    def _failure() -> client.ExchangeFailed:
        return client.ExchangeFailed("the content did not end in time",
                                     response_started=True)
