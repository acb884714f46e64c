"""Tests of the signals that the processes of a mesh receive."""

import signal

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
