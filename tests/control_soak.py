"""Control processes that are stopped, killed, replaced and wiped in series.

Each seed draws a series of changes of the group. At any time at most one
instance is lost, as the deployments count it: while it is down and until
`_CATCH_UP_S` after its start; one that is removed counts no longer once its
successor has had that time. After each change an order must be acknowledged,
and the newest acknowledged one must be read back.

Usage: python -m tests.control_soak --seed N --seeds COUNT --steps S
"""

import argparse
import math
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import msgspec

from apricothinge.platform import wire
from tests import mesh_builders
from tests import mesh_processes

_LAUNCHER = pathlib.Path(__file__).parent.parent / "deploy" / "launch.py"
_CATCH_UP_S = 4.2
_RECOVERY_S = 15.0
_GRACE_S = 6.0
_REQUEST_TIMEOUT_S = 4.0
_LOGGED = re.compile(
    "control:(members|leads|follows|identity|draining|handed_over|stopped)")
_PROBE_INTERVAL_S = 0.1
# Leaders and members are taken for lost after 0.6 s at the earliest.
_MAX_DELAY_S = 0.5
_GAPS_S = (0.0, 0.05, 0.3, 1.0, 2.0, 4.0)


class Breach(Exception):
    """Control did not keep what it has acknowledged, or does not recover."""


class _DiskProbe:
    """Measures how late the machine itself is, all of whose disks are one.

    Attributes:
        lag_s: Longest delay of a synced write, in seconds.
        stood_still_at: Time in seconds at which the machine last went on after
            a delay that no deployment tolerates on all disks at once.
    """

    def __init__(self, folder):
        self.lag_s = 0.0
        self.stood_still_at = -math.inf
        self._path = pathlib.Path(folder) / "probe"
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        with open(self._path, "wb", buffering=0) as probe_file:
            while not self._ended.is_set():
                started_at = time.monotonic()
                time.sleep(_PROBE_INTERVAL_S)
                probe_file.write(b"x")
                os.fsync(probe_file.fileno())
                now = time.monotonic()
                delay_s = now - started_at - _PROBE_INTERVAL_S
                self.lag_s = max(self.lag_s, delay_s)
                if delay_s > _MAX_DELAY_S:
                    self.stood_still_at = now

    def end(self):
        """Ends the measurement."""
        self._ended.set()
        self._thread.join()


class _Instance:
    """A control instance: its settings and its process."""

    def __init__(self, role_settings):
        self.settings = role_settings
        self.process = None


class ControlGroup:
    """The control instances of a mesh.

    Attributes:
        by_name: Instances that were not removed, by name.
        lines: What has been done, with the seconds since the start.
    """

    def __init__(self, folder, size, probe):
        self.lines = []
        self._probe = probe
        self._folder = pathlib.Path(folder)
        self._started_at = time.monotonic()
        found = mesh_processes.MeshProcessCase.control_settings(
            self._folder, size)
        self.by_name = {
            role_settings.instance: _Instance(role_settings)
            for role_settings in found
        }
        self._template = found[0]
        self._added = 0
        self._version = 0
        for instance in self.by_name.values():
            self.start(instance)

    def note(self, text):
        """Records what is done."""
        self.lines.append(f"{time.monotonic() - self._started_at:8.3f} {text}")

    def start(self, instance):
        """Starts the process of an instance with the current seeds."""
        name = instance.settings.instance
        path = self._folder / f"{name}.json"
        path.write_bytes(
            msgspec.json.encode({
                "role": "mesh_control",
                "mesh_control": instance.settings
            }))
        with open(self._folder / f"{name}.log", "ab") as log_file:
            instance.process = subprocess.Popen(
                [sys.executable, _LAUNCHER],
                env=os.environ | {wire.SETTINGS_PATH_VARIABLE: str(path)},
                stdout=log_file,
                stderr=log_file)

    def _update_seeds(self, instance):
        seeds = [
            other.settings.operator
            for other in self.by_name.values()
            if other.process is not None and other.process.poll() is None
        ][:3]
        instance.settings = msgspec.structs.replace(instance.settings,
                                                    bootstrap=False,
                                                    seeds=seeds or
                                                    instance.settings.seeds)

    def add(self):
        """Starts an instance at a new address with an empty disk."""
        self._added += 1
        host = f"127.0.0.{100 + self._added}"
        name = f"s{self._added}"
        fields = {
            field: f"{host}:{getattr(self._template, field).split(':')[1]}"
            for field in ("link", "operator", "admin")
        }
        instance = _Instance(
            msgspec.structs.replace(self._template,
                                    instance=name,
                                    data=str(self._folder / name),
                                    **fields))
        self._update_seeds(instance)
        self.by_name[name] = instance
        self.note(f"{name} is added")
        self.start(instance)
        time.sleep(_CATCH_UP_S)
        return instance

    def restart(self, instance):
        """Starts an instance again at its address."""
        self._update_seeds(instance)
        self.note(f"{instance.settings.instance} starts again")
        self.start(instance)

    def signal_stop(self, instance):
        """Sends SIGTERM to an instance."""
        self.note(f"SIGTERM to {instance.settings.instance}")
        instance.process.send_signal(signal.SIGTERM)

    def await_end(self, instance):
        """Waits until the process of a stopped instance has ended."""
        code = instance.process.wait(_GRACE_S)
        self.note(f"{instance.settings.instance} has ended")
        if code:
            raise Breach(f"exit code {code}")

    def stop(self, instance):
        """Stops an instance."""
        self.signal_stop(instance)
        self.await_end(instance)

    def kill(self, instance):
        """Kills the process of an instance."""
        self.note(f"{instance.settings.instance} is killed")
        instance.process.kill()
        instance.process.wait()

    def remove(self, instance):
        """Forgets an instance that does not return."""
        del self.by_name[instance.settings.instance]

    def lose_disk(self, instance, down_s):
        """Kills an instance, which returns with an empty disk."""
        self.kill(instance)
        shutil.rmtree(instance.settings.data)
        self.note("its disk is lost")
        time.sleep(down_s)
        self.restart(instance)
        time.sleep(_CATCH_UP_S)

    def _ask(self, request):
        """Asks each instance in turn until one gives a clear answer.

        The time to recover begins anew when the whole machine stood still.
        """
        asked_at = time.monotonic()
        while time.monotonic() < _RECOVERY_S + max(asked_at,
                                                   self._probe.stood_still_at):
            for instance in list(self.by_name.values()):
                try:
                    with mesh_processes.connect(instance.settings.operator,
                                                0.0) as connection:
                        connection.settimeout(_REQUEST_TIMEOUT_S)
                        connection.sendall(request)
                        answer = mesh_processes.receive_all(connection)
                except OSError:
                    continue
                if answer[9:12] in (b"200", b"400", b"412"):
                    return instance, answer
            time.sleep(0.1)
        raise Breach(f"no clear answer to {request[:40]!r} within"
                     f" {_RECOVERY_S} s")

    def check(self):
        """Sends an order and reads it back; returns the leader."""
        self._version += 1
        text = mesh_builders.state_text(f"r{self._version}")
        leader, answer = self._ask(
            (f"POST {wire.REPLACE_PATH} HTTP/1.1\r\nhost: c\r\n"
             f"{wire.BASE_VERSION_HEADER.decode()}: r{self._version - 1}\r\n"
             f"connection: close\r\n"
             f"content-length: {len(text)}\r\n\r\n").encode() + text)
        if answer[9:12] != b"200":
            raise Breach(f"order r{self._version}: {answer[:200]!r}")
        _, answer = self._ask(f"GET {wire.READ_PATH} HTTP/1.1\r\nhost: c\r\n"
                              f"connection: close\r\n\r\n".encode())
        if not answer.endswith(text):
            raise Breach(f"r{self._version} is not read back: {answer[:200]!r}")
        self.note(f"r{self._version} is acknowledged and read back, leader"
                  f" {leader.settings.instance}")
        return leader

    def member_lines(self):
        """Returns what the instances have logged of members and leaders."""
        return [
            f"{path.stem}: {line.rstrip()}"
            for path in sorted(self._folder.glob("*.log"))
            for line in path.read_text(errors="replace").splitlines()
            if _LOGGED.search(line)
        ]

    def end(self):
        """Ends all processes."""
        for instance in self.by_name.values():
            if instance.process is not None:
                instance.process.kill()
                instance.process.wait()


class Series:
    """A series of changes, drawn from a seed."""

    def __init__(self, group, seed):
        self._group = group
        self._rng = random.Random(seed)
        self._leader = None

    def run(self, steps):
        """Makes changes and checks the group after each of them."""
        self._leader = self._group.check()
        changes = (self._replace, self._replace, self._replace_late,
                   self._restart_in_turn, self._restart_all, self._lose_a_disk)
        for _ in range(steps):
            self._rng.choice(changes)()
            self._leader = self._group.check()

    def _draw(self, without=()):
        """Returns an instance, the leader half of the time."""
        if self._leader not in without and self._rng.random() < 0.5:
            return self._leader
        return self._rng.choice([
            instance for instance in self._group.by_name.values()
            if instance not in without
        ])

    def _lose_a_disk(self, without=()):
        self._group.lose_disk(self._draw(without), self._rng.uniform(0.2, 3.0))

    def _replace(self):
        """A successor runs when an instance goes, and a disk is lost."""
        group = self._group
        group.add()
        if self._rng.random() < 0.3:
            self._leader = group.check()
        gone = self._draw()
        if self._rng.random() < 0.6:
            group.stop(gone)
        else:
            group.kill(gone)
        group.remove(gone)
        time.sleep(self._rng.choice(_GAPS_S))
        self._lose_a_disk((gone,))

    def _replace_late(self):
        """A successor comes after an instance has gone, then a disk is lost."""
        group = self._group
        gone = self._draw()
        group.kill(gone)
        group.remove(gone)
        time.sleep(self._rng.choice(_GAPS_S))
        group.add()
        self._lose_a_disk((gone,))

    def _restart_in_turn(self):
        """Instances restart one after the other, by SIGTERM or after a kill."""
        for instance in list(self._group.by_name.values()):
            if self._rng.random() < 0.7:
                self._group.stop(instance)
            else:
                self._group.kill(instance)
            time.sleep(self._rng.choice((0.1, 1.0, 2.0)))
            self._group.restart(instance)
            time.sleep(_CATCH_UP_S)

    def _restart_all(self):
        """All instances go at once and are back within a second."""
        group = self._group
        instances = list(group.by_name.values())
        self._rng.shuffle(instances)
        by_signal = self._rng.random() < 0.5
        for instance in instances:
            if by_signal:
                group.signal_stop(instance)
                time.sleep(self._rng.choice((0.0, 0.05, 0.2)))
            else:
                group.kill(instance)
        for instance in instances:
            if by_signal:
                group.await_end(instance)
        for instance in instances:
            group.restart(instance)
        time.sleep(_CATCH_UP_S)


def run_seed(seed, steps):
    """Runs a series and prints its result; returns whether all was kept."""
    with tempfile.TemporaryDirectory() as folder:
        probe = _DiskProbe(folder)
        group = ControlGroup(folder, 3, probe)
        lines = []
        result = "no breach"
        try:
            Series(group, seed).run(steps)
        except (Breach, subprocess.TimeoutExpired) as breach:
            result = str(breach)
            lines = group.lines + group.member_lines()
        finally:
            group.end()
            probe.end()
    print(f"seed {seed}, lag {probe.lag_s:.3f} s: {result}",
          *lines,
          sep="\n",
          flush=True)
    return not lines


def main():
    """Runs the seeds and returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--steps", type=int, default=4)
    arguments = parser.parse_args()
    results = [
        run_seed(seed, arguments.steps)
        for seed in range(arguments.seed, arguments.seed + arguments.seeds)
    ]
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
