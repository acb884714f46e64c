"""Event loop with virtual time."""

import asyncio


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Advances its time to the next timer instead of waiting for it."""

    def __init__(self):
        super().__init__()
        self._now = 0.0

    def time(self):
        return self._now

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now = max(self._now, self._scheduled[0].when())
        super()._run_once()
