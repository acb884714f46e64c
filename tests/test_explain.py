"""Tests of apricothinge.explain and apricothinge.log."""

import json
import os
import pathlib
import tempfile
import unittest

from typer import testing

from apricothinge import cli
from apricothinge import explain
from apricothinge import log


def _line(kind, at, **fields):
    return json.dumps({"message_type": kind, "timestamp": at, **fields})


_ENTRY_LOG = [
    _line("control:lost", 95.0, address="c1"),
    _line("state:in_force", 10.0, revision=1),
    _line("request:sent_again", 100.2, request="q1", after="n2"),
    _line("request:refused", 100.3, request="q1", code="overloaded"),
    _line("request:answered", 100.1, request="q2", status=200),
]
_PEER_LOG = [
    "100.15 n2 " +
    _line("upstream:ran", 100.15, request="q1.a", status=500, held_s=0.1),
    "not a line of a log",
]


class TimelineTest(unittest.TestCase):
    """The timeline has the lines of a request and recent state changes."""

    def test_order(self):
        """Lines of several processes are sorted by time."""
        timeline = explain.timeline("q1", {
            "n1": _ENTRY_LOG,
            "n2.log": _PEER_LOG
        })
        self.assertEqual([(line.process, line.kind) for line in timeline],
                         [("n1", "control:lost"), ("n2", "upstream:ran"),
                          ("n1", "request:sent_again"),
                          ("n1", "request:refused")])

    def test_unknown_request(self):
        """The timeline of a request that no line mentions is empty."""
        self.assertEqual(explain.timeline("q9", {"n1": _ENTRY_LOG}), [])

    def test_command(self):
        """The command prints the timeline, and fails if it is empty."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "n1"
            path.write_text("\n".join(_ENTRY_LOG))
            runner = testing.CliRunner()
            result = runner.invoke(cli.app, ["explain", "q1", str(path)])
            self.assertEqual(result.exit_code, 0)
            self.assertIn("code=overloaded", result.output)
            result = runner.invoke(cli.app,
                                   ["explain", "--json", "q1",
                                    str(path)])
            self.assertEqual(
                json.loads(result.output)[-1]["kind"], "request:refused")
            result = runner.invoke(cli.app, ["explain", "q9", str(path)])
            self.assertEqual(result.exit_code, 1)


class NonBlockingLogTest(unittest.TestCase):
    """Logging does not block, and limits the rate of each event type."""

    def test_reader_stops(self):
        """Lines beyond the buffer are dropped and counted if nobody reads."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        log_writer = log.NonBlockingWriter(writer)
        for _ in range(3000):
            log_writer.write(b"x" * 999 + b"\n")
        self.assertGreater(log_writer.omitted, 0)
        read = os.read(reader, 1 << 20)
        self.assertTrue(read)
        log_writer.write(b"after\n")

    def test_rate_limit(self):
        """Lines over the rate limit of an event type are counted as omitted."""
        before = log.omitted_lines()
        for _ in range(500):
            log.event("test:budget")
        self.assertGreaterEqual(log.omitted_lines() - before, 300)
