"""Many node clients of control in one process."""

import asyncio
import random
import time

from apricothinge import settings
from apricothinge.control import wire
from apricothinge.node import agent
from apricothinge.node import state
from apricothinge.overload import claims
from apricothinge.rates import distributed
from bench import fleet


class CountingCodec(wire.Codec):
    """Counts the bytes that pass."""

    __slots__ = ("bytes_out", "bytes_in", "messages_in")

    def __init__(self, secret):
        super().__init__(secret)
        self.bytes_out = self.bytes_in = self.messages_in = 0

    def seal(self, message):
        sealed = super().seal(message)
        self.bytes_out += len(sealed.body)
        return sealed

    def open(self, sealed, message_type):
        self.bytes_in += len(sealed.body)
        self.messages_in += 1
        return super().open(sealed, message_type)


class RecordingState(state.NodeState):
    """Notes when each revision came into force."""

    __slots__ = ("installed_at", "reverted")

    def install(self, now, compiled):
        before = self.compiled
        super().install(now, compiled)
        if before is not None and self.compiled.revision < before.revision:
            self.reverted += 1
        self.installed_at.setdefault(compiled.revision, time.perf_counter())


class ControlClient:
    """One node's part towards control."""

    def __init__(self, number, control_addresses, failure_domain):
        loop = asyncio.get_running_loop()
        instance = f"client-{number}"
        any_address = settings.Address("127.0.0.1", 1)
        place = number % len(control_addresses)
        part = settings.Node(instance=instance,
                             failure_domain=failure_domain,
                             caller=any_address,
                             peer=any_address,
                             local=any_address,
                             admin=any_address,
                             control=control_addresses[place:] +
                             control_addresses[:place],
                             fleet_secret=fleet.FLEET_SECRET)
        gate = distributed.DistributedRateLimiter(
            f"{instance}:1", failure_domain, None, loop.time,
            lambda: self.state.confirmed_at)
        self.state = RecordingState(part, loop.time(), 1, gate,
                                    claims.LocalClaimStore(loop.time),
                                    random.Random(number))
        self.state.installed_at = {}
        self.state.reverted = 0
        self.state.local.service = f"service-{number % 4}"
        self.state.local.up = True
        self.codec = CountingCodec(fleet.FLEET_SECRET)
        self.agent = agent.Agent(self.state, any_address, gate, self.codec)
        self.agent.start()

    @property
    def revision(self):
        """The revision in force."""
        compiled = self.state.compiled
        return -1 if compiled is None else compiled.revision


async def start_clients(count,
                        control_addresses,
                        failure_domains=("a", "b", "c")):
    """Starts clients and waits until each has lists."""
    clients = [
        ControlClient(number, control_addresses,
                      failure_domains[number % len(failure_domains)])
        for number in range(count)
    ]
    until = time.perf_counter() + 30
    while any(client.revision < 1 for client in clients):
        if time.perf_counter() > until:
            raise RuntimeError("clients did not get lists")
        await asyncio.sleep(0.05)
    return clients
