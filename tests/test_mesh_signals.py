"""Tests of the signals that the processes of a mesh receive."""

import asyncio
import os
import signal
import time
import unittest

import msgspec

from apricothinge import runtime
from apricothinge.platform import host
from tests import mesh_processes


class StartTest(mesh_processes.MeshProcessCase):
    """A node that receives a signal while it starts."""

    def _start_listening(self):
        """Starts a node; returns as soon as its caller port listens."""
        node_settings = self.node_settings()
        process = self.start(node_settings)
        mesh_processes.connect(node_settings.caller).close()
        return process

    def test_stop_during_start_cuts_requests(self):
        """A node that listens already stops as it does later."""
        process = self._start_listening()
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(mesh_processes.TIMEOUT_S))

    def test_reload_during_start_ends_process(self):
        """SIGHUP, then SIGTERM: the node goes on, and then stops as usual."""
        process = self._start_listening()
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(mesh_processes.TIMEOUT_S))


class SettingsTest(mesh_processes.MeshProcessCase):
    """A node whose settings file changes to what it can't use."""

    def test_invalid_seed_ends_process(self):
        """A node goes on with its seeds, also if it reads the file at a stop."""
        node_settings = self.node_settings()
        process = self.start(node_settings)
        mesh_processes.connect(node_settings.readiness).close()
        time.sleep(0.2)
        changed = msgspec.structs.replace(node_settings, seeds=["nobody:1"])
        self.write_settings(changed)
        process.send_signal(signal.SIGHUP)
        time.sleep(1.2)
        self.assertIsNone(process.poll())
        self.write_settings(changed)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(mesh_processes.TIMEOUT_S))


class SignalTimeTest(unittest.TestCase):
    """When a signal has come, as seen by a busy event loop."""

    def setUp(self):
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(signal.signal, signal_number,
                            signal.getsignal(signal_number))

    def test_stop_counted_from_its_notice(self):
        """Turns of the loop do not delay the time of a signal."""
        loop = runtime.new_event_loop()
        self.addCleanup(loop.close)
        sent_at = []

        def busy(left):
            time.sleep(0.05)
            if left == 20:
                sent_at.append(loop.time())
                os.kill(os.getpid(), signal.SIGTERM)
            if left:
                loop.call_soon(busy, left - 1)

        async def wait_for_stop():
            signals = host.Signals()
            loop.call_soon(busy, 30)
            await signals.stopped
            return signals.stopped_at, loop.time()

        stopped_at, noticed_at = loop.run_until_complete(wait_for_stop())
        self.assertLess(stopped_at - sent_at[0], 0.02)
        self.assertGreater(noticed_at - sent_at[0], 0.05)

    def test_signal_during_exit_changes_exit_code(self):
        """A signal after the end of the stop does not kill the process."""
        loop = runtime.new_event_loop()

        async def stop():
            host.Signals().ignore()

        loop.run_until_complete(stop())
        loop.close()
        for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.assertIs(signal.getsignal(signal_number), signal.SIG_IGN)
