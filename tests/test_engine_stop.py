"""Tests of requests that meet the stop of a node of the own engine."""

import asyncio
import os
import signal
import unittest
from unittest import mock

import eliot
import msgspec

from apricothinge import daemon
from apricothinge import errors
from apricothinge import runtime
from apricothinge import settings
from apricothinge.control import wire
from apricothinge.node import control_client
from apricothinge.overload import crashes
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
        messages = self._capture_lines()
        for node in self.fleet.nodes:
            node.abort()
        self.assertEqual((await sent).status, 0)
        self.assertEqual([(message["message_type"], message["request"])
                          for message in messages
                          if message["message_type"].endswith(":cut")],
                         [("request:cut", request_id),
                          ("call:cut", request_id)])

    def _capture_lines(self):
        lines = []
        append = lines.append
        eliot.add_destinations(append)
        self.addCleanup(eliot.remove_destination, append)
        return lines

    def _stop(self, index, grace_s):
        """Stops a node with a grace period; returns the task."""
        node = self.fleet.nodes[index]
        node.state.settings = msgspec.structs.replace(node.state.settings,
                                                      grace_s=grace_s)
        return asyncio.ensure_future(node.stop())

    async def test_request_accepted_after_stop_and_cut(self):
        """A request that may run longer than the process is refused."""
        await self._start(drain_s=0.5)
        reader, writer = await asyncio.open_connection(self.node.caller.host,
                                                       self.node.caller.port)
        self.addCleanup(writer.close)
        await asyncio.sleep(0.05)
        stopping = self._stop(0, 1.0)
        await asyncio.sleep(0.1)
        writer.write(fleet.request("POST"))
        async with asyncio.timeout(1.2):
            reply = fleet.Reply(await reader.read())
            await stopping
        self.assertEqual((reply.status, reply.error, reply.not_run),
                         (503, "draining", True))
        self.assertEqual(self.upstream.runs, 0)

    async def test_waiting_call_cut_with_running_one(self):
        """At the end, a call that waits is refused, one that runs is cut."""
        await self._start()
        with mock.patch.object(crashes.CrashTable,
                               "is_suspect",
                               return_value=True):
            # Suspects run one at a time.
            running = self._send()
            await self._wait_for_run()
            waiting = self._send()
            await asyncio.sleep(0.05)
        messages = self._capture_lines()
        async with asyncio.timeout(1.2):
            await self._stop(1, 1.0)
            self.assertTrue((await waiting).not_run)
            self.assertEqual((await running).status, 502)
        self.assertEqual(self.upstream.runs, 1)
        self.assertEqual([
            message["message_type"]
            for message in messages
            if message["message_type"].endswith(":cut")
        ], ["call:cut"])

    async def test_content_that_never_arrives(self):
        """A request whose content is missing at the end is refused."""
        await self._start()
        data = fleet.request("POST", content=b"0123")
        sent = asyncio.ensure_future(fleet.send(self.node.caller, data[:-1]))
        await asyncio.sleep(0.05)
        async with asyncio.timeout(1.2):
            await self._stop(0, 1.0)
            reply = await sent
        self.assertEqual((reply.error, reply.not_run), ("draining", True))

    async def test_stop_while_control_is_lost(self):
        """A claim that can't be recorded does not delay the end."""
        await self._start()
        store = control_client.ControlClaimStore([builders.ANY_PORT],
                                                 wire.Codec(builders.SECRET))
        self.node._control_claim_store = store
        await store.give_up("o/stock/a", "owner")
        async with asyncio.timeout(0.9):
            await self._stop(0, 0.5)

    def test_grace_period_shorter_than_the_drain(self):
        """Peers must have closed their connections before the end."""
        node = msgspec.structs.replace(builders.node_settings(drain_s=5.0),
                                       grace_s=5.0)
        with self.assertRaisesRegex(errors.ApricothingeError, "grace_s"):
            settings.validate(settings.Settings("node", node=node), "x")

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
