"""Tests of entries that no sound writer would write: deep, large, out of range.

Operators of similar systems saw machines that read such an entry end again and
again, or stop following the list.
"""

import json
import unittest
from unittest import mock

from apricothinge import errors
from apricothinge import settings
from apricothinge.link import frames
from apricothinge.mesh import documents
from apricothinge.platform import operator_handler
from apricothinge.platform import wire
from apricothinge.web import messages
from tests import mesh_builders
from tests import test_check_ins
from tests import test_mesh_nodes

_DEEP = b"[" * 100_000 + b"]" * 100_000
_LARGE = (1 << 31, 1 << 63, 1 << 64, 10**400, -1, -(1 << 63), 1e308, -1e308)


def _deep(**fields):
    """Returns a JSON object with a very deeply nested further field."""
    text = json.dumps(fields).encode()
    return text[:-1] + b', "extra": ' + _DEEP + b"}"


def _state_text(table, column, value):
    """Builds a desired state in which one value is replaced."""
    state = json.loads(mesh_builders.state_text("r5"))
    if table == "limits":
        state["limits"] = {column: value}
    else:
        columns = state[table]["columns"]
        if column not in columns:
            columns.append(column)
            state[table]["rows"] = [
                row + [None] for row in state[table]["rows"]
            ]
        state[table]["rows"][0][columns.index(column)] = value
    return json.dumps(state).encode()


def _odd_states():
    """Yields desired states with one odd number each, and its place."""
    places = [("routes", column) for column in ("timeoutS", "sloLatencyS",
                                                "priority", "maxAttempts")]
    places += [("services", column)
               for column in ("maxConns", "coldStartS", "coldPerS")]
    places += [
        ("tenants", column) for column in ("priority", "ratePerS", "burst")
    ]
    places += [("limits", column)
               for column in ("maxHeaderBytes", "maxBodyBytes",
                              "headerTimeoutS", "idleTimeoutS")]
    for table, column in places:
        for index, value in enumerate(_LARGE):
            yield (f"{table}.{column}, number {index}",
                   _state_text(table, column, value))
    for weights in ((1e308, 1e308), (-1, 2), (10**400, 1)):
        split = [{"service": "s", "weight": weight} for weight in weights]
        state = json.loads(mesh_builders.state_text("r5"))
        row = state["routes"]["rows"][0]
        row[state["routes"]["columns"].index("weightedSplit")] = split
        row[-1] = None
        yield f"weights, with {weights[1]}", json.dumps(state).encode()


class OddCheckInTest(test_check_ins.CheckInPortTest):
    """Check-ins at the port of a node."""

    async def _assert_follows(self, version):
        """Checks that the node is listed, used, and follows control."""
        await self.mesh.apply(
            mesh_builders.document(version,
                                   routes=[
                                       mesh_builders.route(),
                                       mesh_builders.route("r2",
                                                           path_prefix="/b/",
                                                           service="t")
                                   ]))
        await self.assert_serves()

    async def test_nested_check_in(self):
        """Guards against a node that ends or stops at a deep check-in."""
        await self.start()
        for path in ("/v1/Instances.Heartbeat/u0",
                     "/v1/Instances.Deregister/u0"):
            for content in (
                    _DEEP,
                    _deep(**json.loads(
                        mesh_builders.check_in_content(self.address, seq=9)))):
                if "Deregister" in path:
                    content = content[:60_000]
                self.assertIn(await self.post(path, content), (400, 413))
        await self._assert_follows(2)

    async def test_large_numbers(self):
        """Guards against numbers that no message to others can carry."""
        await self.start()
        version = 1
        for name in ("slots", "seq", "born", "coldLeftS"):
            for index, value in enumerate(_LARGE):
                if name != "slots" and abs(value) < 1 << 62 and value != -1:
                    continue
                if name == "coldLeftS" and value == -1:
                    continue
                with self.subTest(name=name, index=index):
                    status = await self.check_in(
                        "u8", **({
                            "born": 3000
                        } | {
                            name: value
                        }))
                    self.assertEqual(400, status)
            version += 1
            await self._assert_follows(version)

    async def test_identifiers(self):
        """Guards against identifiers that no header can carry."""
        await self.start()
        for upstream_id in ("", "u" * 300, "a/b", "a%0d%0ab"):
            status = await self.check_in(upstream_id, born=3000, seq=1)
            self.assertEqual(400, status, upstream_id)
        await self._assert_follows(2)


class OddStateTest(test_mesh_nodes.MeshTest):
    """Desired states of operators."""

    async def _send(self, content, base):
        """Sends a desired state to the operator API; returns the status."""
        request = mock.Mock(method="POST",
                            path=wire.REPLACE_PATH,
                            target=wire.REPLACE_PATH,
                            headers=[(wire.BASE_VERSION_HEADER, b"r%d" % base)])
        request.body = messages.Body(len(content), None)
        request.body.prefix = content
        handler = operator_handler.OperatorHandler(self.mesh.control, 1)
        return (await handler.handle(request)).status

    async def _assert_follows(self, place):
        """Checks that all machines follow the next desired state."""
        version = self.mesh.control.state_machine.version + 1
        await self.mesh.apply(mesh_builders.document(version))
        self.assertEqual(200, (await self.mesh.send_request())[0], place)

    async def test_odd_numbers(self):
        """Guards against an acked state that leader or nodes can't follow."""
        await self.mesh.start()
        for place, content in _odd_states():
            base = self.mesh.control.state_machine.version
            content = content.replace(b'"r5"', b'"r%d"' % (base + 1))
            status = await self._send(content, base)
            self.assertIn(status, (200, 400), place)
            if status == 200:
                # The nodes follow, whether they can serve by it or not.
                revision = self.mesh.control.state_machine.revision
                await self.mesh.wait_until(lambda expected=revision: all(
                    node.state.revision >= expected for node in self.mesh.nodes)
                                          )
                self.assertTrue(self.mesh.control._is_confirmed_leader())
            await self._assert_follows(place)

    async def test_nested_state(self):
        """Guards against an error of the server in place of a refusal."""
        await self.mesh.start()
        state = json.loads(mesh_builders.state_text("r5"))
        for content in (_DEEP, _deep(**state)):
            self.assertEqual(400, await self._send(content, 1))
        await self._assert_follows("nested")


class DecoderTest(unittest.TestCase):
    """Decoders alone."""

    def test_unreadable_by_nodes(self):
        """Guards against a state that is accepted and can't be decoded."""
        for place, content in _odd_states():
            try:
                change = wire.decode_change(b"r1", content)
            except errors.ApricothingeError as error:
                self.assertIs(errors.Kind.CONFIGURATION_INVALID, error.kind,
                              place)
                continue
            packed = documents.pack(change.document)
            self.assertEqual(change.document, documents.unpack(packed), place)

    def test_ports_out_of_range(self):
        """Guards against addresses that no socket takes."""
        for port in ("65536", "99999", "-1", "", "1e3", " 80", "8_0", "٣"):
            with self.assertRaises(ValueError, msg=port):
                settings.parse_address(f"10.0.0.1:{port}")
        self.assertEqual(65535, settings.parse_address("10.0.0.1:65535").port)


class OddRowTest(test_mesh_nodes.MeshTest):
    """Rows of the table of nodes."""

    async def test_address_out_of_range(self):
        """Guards against a row that keeps a node from reading the others."""
        await self.mesh.start()
        control_node = self.mesh.nodes[0]
        for address in ("127.0.0.1:99999", "127.0.0.1", "nowhere:1", ""):
            row = frames.NodeRow(f"odd-{address}", 1, address, "a", "s", False,
                                 frames.UpstreamRow("x", 1, "s", 4, True, 0.0))
            new = frames.NodeRow(f"new-{address}", 1, "127.0.0.1:9", "a", "s",
                                 False, None)
            control_node._attachment._apply_update(
                frames.Update(0, 1, None, [row, new], [], False, 2, True, [],
                              []))
            known = control_node._peer_table.by_instance
            self.assertIn(new.instance, known)
            self.assertNotIn(row.instance, known)
        self.assertEqual(200, (await self.mesh.send_request())[0])


if __name__ == "__main__":
    unittest.main()
