"""Tests of the decoders in apricothinge.platform.wire."""

import json
import unittest

from apricothinge import errors
from apricothinge.mesh import documents
from apricothinge.platform import wire
from tests import mesh_builders

_ROUTE_ROW = ["r", "h", "/a/", "idempotent", 6, 1.5, 2, None, 2, False, "s"]


def _route_row(**changes):
    names = ("name", "host", "prefix", "kind", "timeout", "objective",
             "priority", "split", "attempts", "open", "service")
    row = dict(zip(names, _ROUTE_ROW))
    row.update(changes)
    return list(row.values())


class ChangeTest(unittest.TestCase):
    """Decoding and validation of changes of the desired state."""

    def test_decoded(self):
        """Each field is decoded under its internal name."""
        change = wire.decode_change(b"r5", mesh_builders.state_text("r7"))
        self.assertEqual(change.base_version, 5)
        self.assertEqual(change.document.version, 7)
        route = change.document.routes[0]
        self.assertEqual(route.kind, documents.RouteKind.IDEMPOTENT)
        self.assertEqual((route.timeout_s, route.latency_objective_s), (6, 1.5))
        self.assertEqual(route.parts, [documents.Part("s", 1.0)])
        self.assertEqual(change.document.organisations[0].keys, ["k1"])

    def test_resend_has_the_same_id(self):
        """The change ID depends on the base version, not on field order."""
        text = mesh_builders.state_text()
        decoded = json.loads(text)
        reordered = json.dumps(dict(reversed(decoded.items()))).encode()
        first = wire.decode_change(b"0", text).change_id
        self.assertEqual(first, wire.decode_change(b"0", reordered).change_id)
        self.assertNotEqual(first, wire.decode_change(b"r1", text).change_id)

    def test_invalid(self):
        """An invalid state is refused with the field and the expected value."""
        zero_split = [{
            "service": "s",
            "weight": 0
        }, {
            "service": "t",
            "weight": 0
        }]
        split = [{"service": "s", "weight": 1}, {"service": "t", "weight": 0}]
        negative_split = [{
            "service": "s",
            "weight": -1
        }, {
            "service": "t",
            "weight": 5
        }]
        cases = {
            "service": _route_row(service="nobody"),
            "found 'nobody'": _route_row(split=split, service="nobody"),
            "weights": _route_row(split=zero_split, service=None),
            "weight": _route_row(split=negative_split, service=None),
            "timeoutS": _route_row(timeout=601),
            "more than 0": _route_row(timeout=0),
            "maxAttempts": _route_row(attempts=0),
            "routeType": _route_row(kind="sometimes"),
            "rows": _route_row()[:-1],
        }
        for field, row in cases.items():
            with self.subTest(field):
                with self.assertRaises(errors.ApricothingeError) as caught:
                    wire.decode_change(b"0",
                                       mesh_builders.state_text(routes=[row]))
                self.assertEqual(caught.exception.kind,
                                 errors.Kind.CONFIGURATION_INVALID)
                self.assertIn(field, str(caught.exception))
                self.assertIn("expected", str(caught.exception))

    def test_duplicate_host_and_prefix(self):
        """Two routes with the same host and prefix are refused."""
        rows = [_route_row(), _route_row(name="q", host="H")]
        with self.assertRaises(errors.ApricothingeError) as caught:
            wire.decode_change(b"0", mesh_builders.state_text(routes=rows))
        self.assertIn("pathPrefix", str(caught.exception))

    def test_key_of_two_tenants(self):
        """A key of two tenants is refused, and the error does not contain it."""
        tenants = {
            "columns": ["name", "apiKeys"],
            "rows": [["o", ["k1-secret"]], ["p", ["k2", "k1-secret"]]]
        }
        with self.assertRaises(errors.ApricothingeError) as caught:
            wire.decode_change(b"0", mesh_builders.state_text(tenants=tenants))
        self.assertIn("apiKeys", str(caught.exception))
        self.assertNotIn("k1-secret", str(caught.exception))

    def test_truncated(self):
        """A truncated state is refused."""
        text = mesh_builders.state_text()
        for size in (0, 1, len(text) // 2, len(text) - 1):
            with self.assertRaises(errors.ApricothingeError):
                wire.decode_change(b"0", text[:size])

    def test_boundary_values(self):
        """A weight of 0 in a split and the maximum timeout are accepted."""
        split = [{"service": "s", "weight": 0}, {"service": "t", "weight": 5}]
        row = _route_row(split=split, service=None, timeout=600)
        change = wire.decode_change(b"0",
                                    mesh_builders.state_text(routes=[row]))
        self.assertEqual(change.document.routes[0].timeout_s, 600)


class CheckInTest(unittest.TestCase):
    """Decoding of check-ins and deregistrations of upstreams."""

    def test_decoded(self):
        """Each field is decoded under its internal name."""
        check_in = wire.decode_check_in(
            "u1", mesh_builders.check_in_content(state="draining"))
        self.assertEqual(
            (check_in.upstream_id, check_in.born, check_in.sequence),
            ("u1", 1234, 3))
        self.assertTrue(check_in.draining)
        self.assertEqual(check_in.cold_s, 1.5)

    def test_invalid_body(self):
        """An invalid check-in is refused."""
        for text in (b"", b"{", mesh_builders.check_in_content(slots="many"),
                     mesh_builders.check_in_content(state="asleep"),
                     mesh_builders.check_in_content(born=None),
                     mesh_builders.check_in_content(service=7), b"\xff\xfe"):
            with self.assertRaises(errors.CallError):
                wire.decode_check_in("u1", text)

    def test_missing_fields(self):
        """Guards against the use of a target of another writer."""
        for name in ("service", "address", "zone", "version", "slots", "state",
                     "coldLeftS", "seq", "born"):
            with self.assertRaises(errors.CallError, msg=name):
                wire.decode_check_in(
                    "u1", mesh_builders.check_in_content(without=(name,)))

    def test_deregistration(self):
        """The start time is None if the body is empty or has none."""
        self.assertEqual(wire.decode_deregistration(b'{"born": 7}'), 7)
        self.assertIsNone(wire.decode_deregistration(b""))
        self.assertIsNone(wire.decode_deregistration(b"{}"))

    def test_deregistration_of_another_writer(self):
        """Guards against the end of a lifetime by words that can't be read."""
        for content in (b"garbage", b"\xff", b'{"born": "now"}', b"[7]"):
            with self.assertRaises(errors.CallError, msg=content):
                wire.decode_deregistration(content)
