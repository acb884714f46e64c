"""Tests of upstreams that stop in the middle of the head of a response.

Operators of similar systems saw a 200 with an empty or short body, framed as
whole.
"""

import asyncio
import unittest
from unittest import mock

from apricothinge.web import wire
from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes

_ID = mesh_fleet.NAMES.request_id
_HEADS = {
    "length":
        b"HTTP/1.1 200 OK\r\nID\r\nContent-Length: 120\r\nSeal: 1\r\n\r\n",
    "chunked":
        b"HTTP/1.1 200 OK\r\nID\r\nTransfer-Encoding: chunked\r\n\r\n",
    "until close":
        b"HTTP/1.1 200 OK\r\nID\r\nConnection: close\r\n\r\n",
    "1.0":
        b"HTTP/1.0 200 OK\r\nID\r\n\r\n",
    "interim":
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nID\r\n\r\n",
    "line feeds":
        b"HTTP/1.1 200 OK\nID\nContent-Length: 120\n\n",
    "no content":
        b"HTTP/1.1 204 No Content\r\nID\r\n\r\n",
}


class CutHeadTest(test_mesh_nodes.MeshTest):
    """An upstream that ends its connection within a head."""

    async def _start(self):
        self.part = b""
        self.resets = False
        await self.mesh.start(
            ("s", "t"),
            mesh_builders.document(routes=[
                mesh_builders.route(
                    kind=mesh_builders.documents.RouteKind.NON_IDEMPOTENT),
                mesh_builders.route("r2", path_prefix="/b/")
            ]))

        async def handle(head, content, writer):
            del content
            if b"/whole" in head:
                writer.write(mesh_fleet.make_answer(head))
                return True
            request_id = mesh_fleet.header_value(head, _ID)
            writer.write(self.part.replace(b"ID", _ID + b": " + request_id, 1))
            await writer.drain()
            if self.resets:
                await asyncio.sleep(0.002)
                writer.transport.abort()
            return False

        self.mesh.upstreams[0].handler = handle

    async def _find_breaches(self, step, indices=(0, 1)):
        """Returns the cuts after which a caller got a success.

        Args:
            step: Distance in bytes of the cuts.
            indices: Nodes that callers send to; the first is beside the
                upstream.
        """
        breaches = []
        for name, head in _HEADS.items():
            for resets in (False, True):
                for end in range(0, len(head), step):
                    self.part, self.resets = head[:end], resets
                    for index in indices:
                        if await self._status(index) != 502:
                            breaches.append((name, end, resets, index))
        return breaches

    async def _status(self, index):
        status, _, _ = await self.mesh.send_request(index,
                                                    method="POST",
                                                    content=b"x")
        return status

    async def test_success_after_cut_head(self):
        """Guards against a 200 for a response of which no head has arrived."""
        await self._start()
        self.assertEqual([], await self._find_breaches(step=1, indices=(1,)))
        self.assertEqual([], await self._find_breaches(step=5, indices=(0,)))

    async def test_planted_fault(self):
        """The check finds a parser that ends a head where the input ends."""
        await self._start()
        receive = wire.Http1Codec.receive_data

        def receive_leniently(codec, data):
            if not data and not codec.server and codec._in_head:
                receive(codec, b"\r\n\r\n")
            receive(codec, data)

        with mock.patch.object(wire.Http1Codec, "receive_data",
                               receive_leniently):
            self.assertNotEqual([], await self._find_breaches(step=9,
                                                              indices=(0,)))

    async def test_order_after_cut_head(self):
        """Guards against an answer in the place of one that was cut."""
        await self._start()
        self.part = _HEADS["length"][:30]
        for index in (0, 1):
            reader, writer = await self.mesh.connect(index)
            for number, path in enumerate(("/b/cut", "/b/whole", "/b/cut")):
                writer.write(
                    mesh_fleet.make_request(path, request_id=b"q%d" % number))
            statuses = []
            for number in range(3):
                status, head, _ = await mesh_fleet.read_answer(reader)
                statuses.append(status)
                if status == 200:
                    self.assertEqual(b"q%d" % number,
                                     mesh_fleet.header_value(head, _ID))
            self.assertEqual([502, 200, 502], statuses)
            writer.close()


if __name__ == "__main__":
    unittest.main()
