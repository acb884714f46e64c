"""Tests of apricothinge.runtime."""

import asyncio
import socket
import unittest

from apricothinge import runtime


class SparingSelectorTest(unittest.TestCase):
    """Polls of the event loop."""

    def setUp(self):
        self.selector = runtime.SparingSelector()
        self.addCleanup(self.selector.close)
        self.reader, self.writer = socket.socketpair()
        self.addCleanup(self.reader.close)
        self.addCleanup(self.writer.close)
        self.selector.register(self.reader, 1)
        self.writer.send(b"x")

    def test_sockets_starved(self):
        """Callbacks that follow one another do not keep sockets waiting."""
        polls = [len(self.selector.select(0)) for _ in range(10)]
        self.assertIn(1, polls[:5])
        self.assertIn(1, polls[5:])

    def test_wait(self):
        """A wait without callbacks always polls."""
        for _ in range(3):
            self.assertEqual(1, len(self.selector.select(1.0)))
            self.assertEqual(1, len(self.selector.select(None)))


class EventLoopTest(unittest.TestCase):
    """The event loop of a process."""

    def test_messages_beside_callbacks(self):
        """Messages arrive while another task never waits."""

        async def main():
            reader, writer = socket.socketpair()
            loop = asyncio.get_running_loop()
            reader.setblocking(False)
            busy = asyncio.ensure_future(spin())
            writer.send(b"x")
            async with asyncio.timeout(5.0):
                received.append(await loop.sock_recv(reader, 1))
            busy.cancel()
            reader.close()
            writer.close()

        async def spin():
            while True:
                await asyncio.sleep(0)

        received = []
        runtime.run(main())
        self.assertEqual([b"x"], received)

    def test_timers_together(self):
        """Timers of one period are due at the same moments."""
        for now in (3.0, 3.01, 3.0999, 3.4999):
            due = now + runtime.seconds_to_next(now, 0.5)
            self.assertAlmostEqual(0.0, min(due % 0.5, 0.5 - due % 0.5))
            self.assertGreater(due - now, 0.04)


if __name__ == "__main__":
    unittest.main()
