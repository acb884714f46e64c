"""Tests of the daemon and the command line as separate processes."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

import msgspec

from apricothinge import keys
from apricothinge import settings
from tests import builders
from tests import mesh_processes

_BIN = pathlib.Path(sys.executable).parent
_TIMEOUT_S = 60.0


class ProcessCase(unittest.TestCase):
    """Starts daemons and runs the command line."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name)
        self.running = {}
        self.addCleanup(self._kill_processes)
        ports = mesh_processes.free_ports(6)
        self.addresses = {
            f"c{i}": settings.Address("127.0.0.1", port)
            for i, port in enumerate(ports[:3])
        }
        self.admin_ports = ports[3:]

    def _kill_processes(self):
        for process in self.running.values():
            process.kill()
            process.wait()

    def start_control(self, name):
        """Starts or restarts a control instance."""
        control_settings = settings.Control(
            instance=name,
            failure_domain="a",
            rpc=self.addresses[name],
            admin=settings.Address("127.0.0.1",
                                   self.admin_ports[int(name[1:])]),
            data=str(self.path / name),
            fleet_secret=builders.SECRET,
            members=self.addresses)
        path = self.path / f"{name}.json"
        path.write_bytes(
            msgspec.json.encode(
                settings.Settings(role="control", control=control_settings)))
        self.running[name] = subprocess.Popen([_BIN / "apricothinged", path],
                                              stderr=subprocess.DEVNULL)

    def run_cli(self, *arguments):
        """Runs the command line and returns its exit code and output."""
        environment = dict(os.environ,
                           APRICOTHINGE_CONTROL=",".join(
                               map(str, self.addresses.values())),
                           APRICOTHINGE_SECRET=builders.SECRET)
        completed = subprocess.run([_BIN / "apricothinge", *arguments],
                                   env=environment,
                                   capture_output=True,
                                   text=True,
                                   timeout=_TIMEOUT_S,
                                   check=False)
        return completed.returncode, completed.stdout + completed.stderr

    def write_lists(self, version, *names):
        """Writes lists with the named organisations; returns the folder."""
        folder = self.path / f"lists-{version}-{'-'.join(names)}"
        folder.mkdir()
        document = builders.document(version,
                                     {n: ("p", [f"k-{n}"]) for n in names})
        (folder / "organisations.json").write_bytes(
            msgspec.json.encode(document.organisations))
        plans = msgspec.structs.replace(document.plans, version=1)
        (folder / "plans.json").write_bytes(msgspec.json.encode(plans))
        return str(folder)


class ControlTest(ProcessCase):
    """Tests of a group of control instances."""

    def test_accepted_changes_survive_kills(self):
        """Accepted changes survive kills of the leader and of all members."""
        for name in self.addresses:
            self.start_control(name)
        first_version = self.write_lists(1, "a")
        self.assertEqual((0, "accepted as revision 1\n"),
                         self.run_cli("apply", first_version))
        code, text = self.run_cli("status", "--json")
        self.assertEqual(0, code, text)
        status = json.loads(text)
        leader = next(m["instance"] for m in status["members"] if m["leader"])
        self.running[leader].kill()
        second_version = self.write_lists(2, "a", "b")
        self.assertEqual(0, self.run_cli("apply", second_version)[0])
        conflicting_version = self.write_lists(2, "a", "c")
        self.assertEqual(3, self.run_cli("apply", conflicting_version)[0])
        for process in self.running.values():
            process.kill()
            process.wait()
        for name in self.addresses:
            self.start_control(name)
        self.assertEqual((0, "accepted as revision 2\n"),
                         self.run_cli("apply", second_version))
        self.assertEqual((0, "no difference\n"),
                         self.run_cli("diff", second_version))
        code, text = self.run_cli("diff", conflicting_version)
        self.assertIn("+ organisation c", text)
        for process in self.running.values():
            process.send_signal(signal.SIGTERM)
            self.assertEqual(0, process.wait(_TIMEOUT_S))

    def test_damaged_disk_file(self):
        """A member whose disk file is damaged exits with code 3."""
        self.start_control("c0")
        folder = self.path / "c0"
        deadline = time.monotonic() + _TIMEOUT_S
        while not (folder / "vote").exists() and time.monotonic() < deadline:
            if (folder / "log").exists():
                break
            time.sleep(0.05)
        time.sleep(0.5)
        self.running["c0"].kill()
        self.running["c0"].wait()
        (folder / "disk").write_bytes(b"what")
        self.start_control("c0")
        self.assertEqual(3, self.running["c0"].wait(_TIMEOUT_S))


class CommandLineTest(ProcessCase):
    """Tests of the command line, and of the daemon, without control."""

    def test_validate(self):
        """Valid lists pass; a misspelt field is named, with exit code 2."""
        folder = self.write_lists(1, "a")
        self.assertEqual(0, self.run_cli("validate", folder)[0])
        path = pathlib.Path(folder) / "plans.json"
        path.write_text(path.read_text().replace("burst", "brust"))
        code, text = self.run_cli("validate", folder)
        self.assertEqual(2, code)
        self.assertIn("brust", text)
        code, text = self.run_cli("validate", "--json", folder)
        self.assertEqual("configuration_invalid", json.loads(text)["error"])

    def test_key_new(self):
        """A new key is printed with its hash."""
        code, text = self.run_cli("key", "new", "--json")
        self.assertEqual(0, code)
        output = json.loads(text)
        self.assertEqual(keys.hash_key(output["key"]), output["hash"])

    def test_unreachable(self):
        """Without control the command fails with exit code 5."""
        code, text = self.run_cli("status")
        self.assertEqual(5, code)
        self.assertIn("unreachable", text)

    def test_bad_settings(self):
        """The daemon names the invalid field, with exit code 2."""
        path = self.path / "s.json"
        path.write_text('{"role": "node"}')
        completed = subprocess.run([_BIN / "apricothinged", path],
                                   capture_output=True,
                                   text=True,
                                   timeout=_TIMEOUT_S,
                                   check=False)
        self.assertEqual(2, completed.returncode)
        self.assertIn("`node`", completed.stderr)


if __name__ == "__main__":
    unittest.main()
