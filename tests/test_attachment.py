"""Tests of the search of a node for the leader of control."""

import asyncio
import unittest
from unittest import mock

from apricothinge.mesh import attachment


class FrozenLeaderTest(unittest.IsolatedAsyncioTestCase):
    """The leader is frozen: it accepts connections and says nothing."""

    async def _tried(self, silent, count):
        """Returns the addresses that a node tries after a silent one."""
        tried = []
        found = asyncio.Event()

        async def attach(_, address):
            tried.append(address)
            if len(tried) == count:
                found.set()
                await asyncio.sleep(60)
            raise OSError("no leader")

        node_attachment = attachment.Attachment(mock.Mock(), mock.Mock(),
                                                mock.Mock(), ["a", "b", "c"],
                                                mock.Mock(), mock.Mock(),
                                                mock.Mock())
        node_attachment._silent_address = silent
        with mock.patch.object(attachment, "_RECONNECT_DELAY_S", 0.0), \
                mock.patch.object(attachment.Attachment, "_attach_and_report",
                                  attach):
            node_attachment.start()
            await found.wait()
            await node_attachment.stop()
        return tried

    async def test_state_late_after_freeze_of_leader(self):
        """A node does not wait for the frozen leader a second time.

        On a hunted day, a node that did so applied a desired state 2.2 s after
        its acknowledgement, where 2 s are allowed.
        """
        self.assertEqual(["b", "c"] * 3, await self._tried("a", 6))

    async def test_only_instance(self):
        """The only known instance is tried again, also after silence."""
        self.assertEqual(["a"], attachment.responsive_first(["a"], "a"))
        self.assertEqual(["a", "b", "c"], await self._tried("", 3))


if __name__ == "__main__":
    unittest.main()
