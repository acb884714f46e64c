"""Machines of the core are replaced as planned, and others lose their disks."""

import asyncio
import json
import pathlib
import secrets
import shutil
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit2  # pylint: disable=wrong-import-position

_HOST = "orders.example"
_KEY = "key-of-tenant-one-0001"
_CATCH_UP_S = 4.0
_SLACK_S = 0.5
_GAP_S = 4.0
_SPARES = (4, 5, 6)
_DOWN_S = 3.0
_RECOVERY_S = 15.0
_READ_S = 15.0


class Case:
    """Replaces machines of the core, and reads the desired state back."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.record = mesh.record

    def _state(self):
        return kit2.desired_state([
            kit2.route("r-orders", _HOST, "/orders/", "desk")
        ], ["desk"], [{
            "name": "tenant-one",
            "apiKeys": [_KEY],
            "priority": 1,
            "ratePerS": 100,
            "burst": 100
        }])

    async def read(self, addresses):
        """Reads the desired state; returns its version, or None."""
        for address in addresses:
            for _ in range(3):
                answer = await kit2.call(address, "GET", "/v1/Config.Get")
                if answer is None or answer[0] != 307:
                    break
                address = answer[1]["location"].split("/")[2]
            status = None if answer is None else answer[0]
            self.record.write(f"read at {address}: {status}")
            if status == 200:
                return json.loads(answer[2])["version"]
        return None

    @staticmethod
    async def _leader(operators):
        """Returns the index of the machine that answers reads itself."""
        while True:
            for index, address in enumerate(operators):
                answer = await kit2.call(address, "GET", "/v1/Config.Get")
                if answer is not None and answer[0] == 200:
                    return index
            await asyncio.sleep(0.1)

    async def _add(self, number):
        """Starts a new machine, and waits until it counts no more."""
        process, operator = self.mesh.add_control(number)
        self.record.write(f"{process.name} starts at a new address, with an"
                          " empty disk")
        process.start()
        while await kit2.call(operator, "GET", "/v1/Config.Get") is None:
            await asyncio.sleep(0.05)
        self.record.write(f"{process.name} answers")
        await asyncio.sleep(_CATCH_UP_S + _SLACK_S)
        return operator

    async def _remove(self, index):
        """Stops a machine for good; returns when its process has ended."""
        process = self.mesh.controls[index]
        self.record.write(f"SIGTERM to {process.name}, which doesn't return")
        process.signal(signal.SIGTERM)
        stopped_at = self.record.now()
        while process.handle.poll() is None:
            if self.record.now() > stopped_at + kit2.GRACE_S:
                process.signal(signal.SIGKILL)
            await asyncio.sleep(0.02)
        self.record.write(f"{process.name} has ended")

    async def _lose_disk(self, index):
        """A machine is down for a while and returns with an empty disk."""
        process = self.mesh.controls[index]
        process.end()
        folder = self.mesh.forget_bootstrap(process)
        shutil.rmtree(folder)
        folder.mkdir()
        self.record.write(f"{process.name} goes down and loses its disk")
        await asyncio.sleep(_DOWN_S)
        process.start()
        self.record.write(f"{process.name} starts again")

    async def run(self):
        """Runs the case; returns whether the rule was broken."""
        mesh = self.mesh
        for machine in mesh.machines:
            machine.target.on_run = self._answer
        await mesh.replace(self._state())
        await mesh.wait_ready()
        await asyncio.sleep(5.0)
        await self._send_requests()
        operators = list(mesh.operators)
        numbers = list(range(1, len(operators) + 1))
        mesh.operators[:] = operators
        operators = mesh.operators
        for number in _SPARES:
            operators.append(await self._add(number))
            numbers.append(number)
            leader = await self._leader(operators)
            await self._remove(numbers[leader] - 1)
            del operators[leader], numbers[leader]
            await asyncio.sleep(_GAP_S)
            if kit2.TROUBLE:
                # A member that has been there all the while.
                await self._lose_disk(numbers[0] - 1)
                await asyncio.sleep(_CATCH_UP_S + _SLACK_S)
            if await self.read(operators) is None:
                break
        self.record.write(f"waits {_RECOVERY_S} s")
        await asyncio.sleep(_RECOVERY_S)
        until = self.record.now() + _READ_S
        version = None
        while version is None and self.record.now() < until:
            version = await self.read(operators)
            await asyncio.sleep(0.5)
        self.record.write(f"acknowledged r{mesh.version}, read back {version}")
        try:
            await mesh.replace(self._state(), 10.0)
        except RuntimeError as error:
            self.record.write(f"a further change: {error}")
        await self._send_requests()
        return version != "r1"

    async def _send_requests(self):
        """Records how requests of clients are answered, which isn't judged."""
        statuses = []
        for turn in range(12):
            machine = self.mesh.machines[turn % len(self.mesh.machines)]
            answer = await kit2.call(machine.outbound, "GET", "/orders/1",
                                     [("Host", _HOST),
                                      ("Attempt-Id", secrets.token_hex(8)),
                                      ("Deadline-Ms", "3000"),
                                      ("Credential", _KEY)])
            statuses.append(None if answer is None else answer[0])
        self.record.write(f"requests of clients: {statuses}")

    @staticmethod
    async def _answer(target, first, headers, content):
        del target, first, headers, content
        return 200, b"done"


if __name__ == "__main__":
    kit2.main(FOLDER, lambda mesh: Case(mesh).run(),
              lambda folder: kit2.Mesh(folder, ["desk"]))
