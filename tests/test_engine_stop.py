"""Tests of requests that meet the stop of a node of the own engine."""

import asyncio
import os
import signal
import unittest
from unittest import mock

import eliot

from apricothinge import daemon
from apricothinge import runtime
from apricothinge import settings
from tests import builders
from tests import fleet

_LONG_S = 30.0


class EngineStopTest(unittest.IsolatedAsyncioTestCase):
    """A node of two, whose upstreams do not answer in time."""

    async def _start(self, **limits):
        self.fleet = fleet.Fleet()
        self.addAsyncCleanup(self.fleet.stop)
        limits.setdefault("default_timeout_s", _LONG_S)
        await self.fleet.start(2, **limits)
        self.node = self.fleet.nodes[0]
        self.upstream = await self.fleet.attach(1, "stall")

    def _send(self, index=0):
        return asyncio.ensure_future(
            fleet.send(self.fleet.nodes[index].caller, fleet.request("POST")))

    async def _wait_for_run(self):
        while not self.upstream.runs:
            await asyncio.sleep(0.005)

    async def test_cut_requests_leave_a_line(self):
        """What a stop at once cuts is logged with its request IDs."""
        await self._start()
        sent = self._send()
        await self._wait_for_run()
        (request_id,) = (
            call.context.request_id
            for call in self.fleet.nodes[1].state.calls_by_token.values())
        messages = []
        eliot.add_destinations(messages.append)
        self.addCleanup(eliot.remove_destination, messages.append)
        for node in self.fleet.nodes:
            node.abort()
        self.assertEqual((await sent).status, 0)
        self.assertEqual([(message["message_type"], message["request"])
                          for message in messages
                          if message["message_type"].endswith(":cut")],
                         [("request:cut", request_id),
                          ("call:cut", request_id)])

    async def test_second_signal_leaves_a_line(self):
        """A second SIGTERM logs what it cuts before the process ends."""
        steps = []
        node = mock.Mock(start=mock.AsyncMock(),
                         stop=mock.AsyncMock(side_effect=asyncio.Event().wait),
                         log_cut=lambda: steps.append("log"))
        loaded = settings.Settings("node", node=builders.node_settings())
        with (mock.patch.object(daemon.node_process, "Node", return_value=node),
              mock.patch.object(runtime, "tune_gc"),
              mock.patch.object(daemon.os, "_exit", steps.append)):
            running = asyncio.ensure_future(daemon._run_role(loaded))
            for signalled in (node.start, node.stop):
                while not signalled.await_count:
                    await asyncio.sleep(0.005)
                os.kill(os.getpid(), signal.SIGTERM)
            while not steps or steps[-1] == "log":
                await asyncio.sleep(0.005)
        running.cancel()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().remove_signal_handler(number)
        self.assertEqual(steps, ["log", daemon.EXIT_SECOND_SIGNAL])
