"""Many control clients of nodes in one process, without the nodes' traffic."""

import asyncio
import random
import time

from apricothinge import settings
from apricothinge.control import wire
from apricothinge.node import control_client
from apricothinge.node import state
from apricothinge.overload import claims
from apricothinge.rates import distributed
from bench import fleet


class CountingCodec(wire.Codec):
    """A codec that counts sealed and received bytes and received messages."""

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
    """Node state that records when each revision was installed.

    Attributes:
        installed_at_by_revision: Time of the first installation.
        revert_count: Installations of a revision older than the one in force.
    """

    __slots__ = ("installed_at_by_revision", "revert_count")

    def install(self, now, compiled):
        previous = self.compiled
        super().install(now, compiled)
        if previous is not None and self.compiled.revision < previous.revision:
            self.revert_count += 1
        self.installed_at_by_revision.setdefault(compiled.revision,
                                                 time.perf_counter())


class ControlClient:
    """The control client and the state of one node that serves no calls."""

    def __init__(self, index, control_addresses, failure_domain):
        loop = asyncio.get_running_loop()
        instance = f"client-{index}"
        unused_address = settings.Address("127.0.0.1", 1)
        offset = index % len(control_addresses)
        node_settings = settings.Node(instance=instance,
                                      failure_domain=failure_domain,
                                      caller=unused_address,
                                      peer=unused_address,
                                      local=unused_address,
                                      admin=unused_address,
                                      control=control_addresses[offset:] +
                                      control_addresses[:offset],
                                      fleet_secret=fleet.FLEET_SECRET)
        rate_limiter = distributed.DistributedRateLimiter(
            f"{instance}:1", failure_domain, None, loop.time,
            lambda: self.state.confirmed_at)
        self.state = RecordingState(node_settings, loop.time(), 1, rate_limiter,
                                    claims.LocalClaimStore(loop.time),
                                    random.Random(index))
        self.state.installed_at_by_revision = {}
        self.state.revert_count = 0
        self.state.local.service = f"service-{index % 4}"
        self.state.local.up = True
        self.codec = CountingCodec(fleet.FLEET_SECRET)
        self.control_client = control_client.ControlClient(
            self.state, unused_address, rate_limiter, self.codec)
        self.control_client.start()

    @property
    def revision(self):
        """The revision in force, or -1 before the first lists."""
        compiled = self.state.compiled
        return -1 if compiled is None else compiled.revision


async def start_clients(count,
                        control_addresses,
                        failure_domains=("a", "b", "c")):
    """Starts clients and waits until each has received the lists."""
    clients = [
        ControlClient(index, control_addresses,
                      failure_domains[index % len(failure_domains)])
        for index in range(count)
    ]
    deadline = time.perf_counter() + 30
    while any(client.revision < 1 for client in clients):
        if time.perf_counter() > deadline:
            raise RuntimeError("clients did not receive the lists within 30 s")
        await asyncio.sleep(0.05)
    return clients
