"""Tests of upstreams that answer an upload early, or with an invalid status.

Operators of similar systems saw a part of a response without a length, whose
connection was reset while the upload was being written, passed on as complete,
and responses with the status 000.
"""

import asyncio
import itertools
import socket
import struct
import unittest

from apricothinge.mesh import documents
from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_ID = mesh_fleet.NAMES.request_id
_UPLOAD_BYTES = 4 << 20
_INVALID_STATUSES = (b"101", b"000", b"001", b"099", b"600", b"999", b"0",
                     b"20", b"2000")


def _head(request_head, status=b"200 OK", fields=b""):
    """Returns the head of a response to a request, without a length."""
    return (b"HTTP/1.1 " + status + b"\r\n" + _ID + b": " +
            mesh_fleet.header_value(request_head, _ID) + b"\r\n" + fields +
            b"\r\n")


class EarlyAnswerTest(test_mesh_nodes.MeshTest):
    """An upstream that answers before it has read the content."""

    async def _start(self, serve):
        await self.mesh.start(
            ("s", "t"),
            mesh_builders.document(routes=[
                mesh_builders.route(kind=documents.RouteKind.NON_IDEMPOTENT)
            ]))
        self.mesh.upstreams[0]._serve_request = serve

    async def _upload(self, index):
        """Uploads content; returns the status of a whole response, or None."""
        reader, writer = await self.mesh.connect(index)
        head = mesh_fleet.make_request(method="POST",
                                       headers=[(b"Content-Length",
                                                 b"%d" % _UPLOAD_BYTES)])

        async def write():
            writer.write(head)
            for _ in range(_UPLOAD_BYTES >> 16):
                writer.write(bytes(1 << 16))
                await writer.drain()
                await asyncio.sleep(0.0002)

        sender = asyncio.ensure_future(write())
        try:
            async with asyncio.timeout(5.0):
                status, _, _ = await mesh_fleet.read_answer(reader)
            return status
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        finally:
            sender.cancel()
            await asyncio.wait((sender,))
            writer.transport.abort()

    async def test_reset_part_looks_complete(self):
        """Guards against a 200 for a response without length that was reset."""
        part, delay_s, how = b"", 0.0, ""

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            if b"POST" not in head:
                return False
            writer.write(_head(head) + part)
            await writer.drain()
            await asyncio.sleep(delay_s)
            connection = writer.get_extra_info("socket")
            if how == "reset":
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                      struct.pack("ii", 1, 0))
            # Unread input turns the end into a reset as well.
            return False

        await self._start(serve)
        breaches = []
        for size, delay_s, how, index in itertools.product(
            (0, 4, 50_000, 200_000), (0.0, 0.003, 0.03), ("reset", "unread"),
            (0, 1)):
            part = b"x" * size
            for _ in range(3):
                status = await self._upload(index)
                if status is not None and status != 502:
                    breaches.append((size, delay_s, how, index, status))
                await self.mesh.wait_until(
                    lambda: self.mesh.nodes[0].upstream.row().usable)
        self.assertEqual([], breaches)

    async def test_invalid_status(self):
        """Guards against a response whose status is no status of HTTP."""
        fields, status = b"", b""

        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(_head(head, status + b" Odd", fields) + b"done")
            await writer.drain()
            await asyncio.sleep(0.05)
            return False

        await self._start(serve)
        for status, fields, index in itertools.product(
                _INVALID_STATUSES,
            (b"", b"content-length: 4\r\n", b"content-length: 0\r\n"), (0, 1)):
            with self.subTest(status=status, fields=fields, index=index):
                answer = await self.mesh.send_request(index, method="POST")
                self.assertEqual(502, answer[0])
                await self.mesh.wait_until(
                    lambda: self.mesh.nodes[0].upstream.row().usable)


if __name__ == "__main__":
    unittest.main()
