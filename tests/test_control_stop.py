"""Tests of orders of operators that meet the stop of a control instance."""

import asyncio
import signal
import threading
import time
from unittest import mock

from apricothinge.mesh import attachment
from apricothinge.mesh import control
from apricothinge.platform import wire
from tests import mesh_builders
from tests import mesh_processes
from tests import test_mesh_nodes

_GRACE_S = 6.0


def _order(version):
    text = mesh_builders.state_text(f"r{version}")
    return (f"POST {wire.REPLACE_PATH} HTTP/1.1\r\nhost: c\r\n"
            f"{wire.BASE_VERSION_HEADER.decode()}: r{version - 1}\r\n"
            f"connection: close\r\n"
            f"content-length: {len(text)}\r\n\r\n").encode() + text


class ControlStopTest(mesh_processes.MeshProcessCase):
    """The leader of three control instances is stopped during an order."""

    def setUp(self):
        super().setUp()
        self.members = self.control_settings(self.folder, 3)
        self.processes = [self.start(member) for member in self.members]
        self.answers = []
        self._find_leader()

    def _find_leader(self):
        """Sends a first order to each instance until one of them takes it."""
        deadline = time.monotonic() + mesh_processes.TIMEOUT_S
        while time.monotonic() < deadline:
            for index, member in enumerate(self.members):
                answer = mesh_processes.exchange(member.operator, _order(1))
                if answer.startswith(b"HTTP/1.1 200"):
                    self.leader = self.processes[index]
                    self.operator = member.operator
                    self.followers = [
                        process for process in self.processes
                        if process is not self.leader
                    ]
                    return
            time.sleep(0.1)
        self.fail("no instance leads")

    def _order_during_stop(self):
        """Stops the followers, sends an order, and SIGTERM to the leader."""
        for process in self.followers:
            process.send_signal(signal.SIGSTOP)
        sender = threading.Thread(target=lambda: self.answers.append(
            mesh_processes.exchange(self.operator, _order(2))))
        sender.start()
        time.sleep(0.2)
        self.leader.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        return sender

    def test_order_in_progress_gets_no_answer(self):
        """An order that is being replicated is answered; new ones are not taken."""
        sender = self._order_during_stop()
        refusal = mesh_processes.exchange(self.operator, _order(3), 0.0)
        self.assertEqual(refusal[:12], b"HTTP/1.1 503")
        self.assertIn(b"apricothinge-not-run: true", refusal)
        for process in self.followers:
            process.send_signal(signal.SIGCONT)
        resumed_at = time.monotonic()
        self.assertEqual(0, self.leader.wait(_GRACE_S))
        # The leader does not delay the election of its successor.
        self.assertLess(time.monotonic() - resumed_at, 1.0)
        sender.join()
        self.assertEqual(self.answers[0][:12], b"HTTP/1.1 200")

    def test_order_without_quorum_gets_no_answer(self):
        """An order whose outcome stays unknown is answered within the grace."""
        sender = self._order_during_stop()
        self.assertEqual(0, self.leader.wait(_GRACE_S))
        sender.join()
        self.assertEqual(self.answers[0][:12], b"HTTP/1.1 503")
        self.assertNotIn(b"apricothinge-not-run", self.answers[0])


class TokenRequestTest(test_mesh_nodes.MeshTest):
    """Requests that wait for tokens from a leader that does not reply."""

    async def _wait_for_tokens(self, end):
        """Calls `end` while a request waits; returns what it brought."""
        await self.mesh.start()
        node_attachment = self.mesh.nodes[0]._attachment
        await self.mesh.wait_until(lambda: node_attachment.attached_to)
        with mock.patch.object(attachment, "_TOKEN_REQUEST_TIMEOUT_S", 60.0), \
                mock.patch.object(control.MeshControl, "_is_confirmed_leader",
                                  lambda _: False):
            waiting = asyncio.ensure_future(node_attachment.request_tokens("o"))
            await asyncio.sleep(0.05)
            await end(node_attachment)
            return await asyncio.wait_for(waiting, 5.0)

    async def test_token_request_outlasts_link(self):
        """The end of the link to the leader ends the wait."""

        async def lose_link(node_attachment):
            node_attachment._link.abort()

        self.assertFalse(await self._wait_for_tokens(lose_link))

    async def test_token_request_outlasts_attachment(self):
        """The stop of the node's link to control ends the wait."""
        self.assertFalse(await
                         self._wait_for_tokens(attachment.Attachment.stop))
