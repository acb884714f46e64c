"""Requests to control instances and to the admin ports of processes."""

import asyncio
import http.client
import json
import time

import grpc

from apricothinge import errors
from apricothinge.control import rpc_messages
from apricothinge.control import wire


async def ask_control(channel, secret, request, timeout_s):
    """Sends one request to a control instance; returns None on an error."""
    codec = wire.Codec(secret)
    try:
        sealed = await wire.stub(channel).Ask(codec.seal(request),
                                              timeout=timeout_s)
        return codec.open(sealed, rpc_messages.Reply)
    except (grpc.aio.AioRpcError, errors.ApricothingeError):
        return None


_channel_by_loop_and_address = {}


def _get_channel(address):
    """Returns the cached channel of the running event loop to an address."""
    key = (id(asyncio.get_running_loop()), address)
    if key not in _channel_by_loop_and_address:
        _channel_by_loop_and_address[key] = wire.channel(address)
    return _channel_by_loop_and_address[key]


async def ask_any_control(addresses, secret, request, timeout_s):
    """Asks control instances in turn until one replies without a failure.

    Raises:
        RuntimeError: The versions of the lists conflict, or no instance did it
            in time.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        for address in addresses:
            reply = await ask_control(_get_channel(address), secret, request,
                                      min(25.0, deadline - time.monotonic()))
            if reply is not None and not isinstance(reply,
                                                    rpc_messages.Failure):
                return reply
            if (isinstance(reply, rpc_messages.Failure) and
                    reply.kind == errors.Kind.VERSION_CONFLICT.value):
                raise RuntimeError(reply.detail)
        await asyncio.sleep(0.1)
    raise RuntimeError("no control instance completed the request in time")


async def _ask_and_close_channels(addresses, secret, request, timeout_s):
    try:
        return await ask_any_control(addresses, secret, request, timeout_s)
    finally:
        loop_id = id(asyncio.get_running_loop())
        for key in [
                key for key in _channel_by_loop_and_address if key[0] == loop_id
        ]:
            await _channel_by_loop_and_address.pop(key).close()


def wait_for_leader(addresses, secret, timeout_s):
    """Waits until a control group has a leader."""
    asyncio.run(
        ask_any_control(addresses, secret, rpc_messages.GetLists(), timeout_s))
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        status = asyncio.run(
            _ask_and_close_channels(addresses, secret, rpc_messages.AskStatus(),
                                    timeout_s))
        if any(member.leader for member in status.members):
            return
        time.sleep(0.1)


def apply(addresses, secret, document, wait_s):
    """Applies lists and waits up to `wait_s` until every node has them."""
    return asyncio.run(
        _ask_and_close_channels(addresses, secret,
                                rpc_messages.Apply(document, wait_s),
                                wait_s + 10))


def fetch_dump(address):
    """Returns the dump of a process, or None if it is unreachable."""
    connection = http.client.HTTPConnection(address.host,
                                            address.port,
                                            timeout=2)
    try:
        connection.request("GET", "/dump")
        return json.loads(connection.getresponse().read())
    except OSError:
        return None
    finally:
        connection.close()
