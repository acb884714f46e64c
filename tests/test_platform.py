"""Tests of apricothinge.platform: what the platform says is decoded once."""

import json
import unittest

from apricothinge import errors
from apricothinge.mesh import documents
from apricothinge.platform import wire
from tests import mesh_builders

_ROUTE = ["r", "h", "/a/", "idempotent", 6, 1.5, 2, None, 2, False, "s"]


def _row(**changes):
    names = ("name", "host", "prefix", "kind", "timeout", "objective",
             "priority", "split", "attempts", "open", "service")
    row = dict(zip(names, _ROUTE))
    row.update(changes)
    return list(row.values())


class ChangeTest(unittest.TestCase):
    """A change of the desired state."""

    def test_decoded(self):
        """Each field arrives under the product's name."""
        found = wire.decode_change(b"r5", mesh_builders.state_text("r7"))
        self.assertEqual(found.base_version, 5)
        self.assertEqual(found.document.version, 7)
        row = found.document.routes[0]
        self.assertEqual(row.kind, documents.RouteKind.IDEMPOTENT)
        self.assertEqual((row.timeout_s, row.latency_objective_s), (6, 1.5))
        self.assertEqual(row.parts, [documents.Part("s", 1.0)])
        self.assertEqual(found.document.organisations[0].keys, ["k1"])

    def test_resend_has_the_same_id(self):
        """The order of fields does not matter, the base does."""
        text = mesh_builders.state_text()
        plain = json.loads(text)
        turned = json.dumps(dict(reversed(plain.items()))).encode()
        first = wire.decode_change(b"0", text).change_id
        self.assertEqual(first, wire.decode_change(b"0", turned).change_id)
        self.assertNotEqual(first, wire.decode_change(b"r1", text).change_id)

    def test_invalid(self):
        """Each kind of invalid state is refused with field and reason."""
        split = [{"service": "s", "weight": 0}, {"service": "t", "weight": 0}]
        below = [{"service": "s", "weight": -1}, {"service": "t", "weight": 5}]
        cases = {
            "service": _row(service="nobody"),
            "weights": _row(split=split, service=None),
            "weight": _row(split=below, service=None),
            "timeoutS": _row(timeout=601),
            "more than 0": _row(timeout=0),
            "maxAttempts": _row(attempts=0),
            "routeType": _row(kind="sometimes"),
            "rows": _row()[:-1],
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

    def test_two_in_one_place(self):
        """Two routes of one host and prefix are refused."""
        rows = [_row(), _row(name="q", host="H")]
        with self.assertRaises(errors.ApricothingeError) as caught:
            wire.decode_change(b"0", mesh_builders.state_text(routes=rows))
        self.assertIn("pathPrefix", str(caught.exception))

    def test_shared_key(self):
        """A key of two organisations is refused, and not shown."""
        tenants = {
            "columns": ["name", "apiKeys"],
            "rows": [["o", ["k1-secret"]], ["p", ["k2", "k1-secret"]]]
        }
        with self.assertRaises(errors.ApricothingeError) as caught:
            wire.decode_change(b"0", mesh_builders.state_text(tenants=tenants))
        self.assertIn("apiKeys", str(caught.exception))
        self.assertNotIn("k1-secret", str(caught.exception))

    def test_cut_short(self):
        """Half a state is refused."""
        text = mesh_builders.state_text()
        for size in (0, 1, len(text) // 2, len(text) - 1):
            with self.assertRaises(errors.ApricothingeError):
                wire.decode_change(b"0", text[:size])

    def test_looks_odd_but_valid(self):
        """A part without weight and the longest timeout are allowed."""
        split = [{"service": "s", "weight": 0}, {"service": "t", "weight": 5}]
        row = _row(split=split, service=None, timeout=600)
        found = wire.decode_change(b"0", mesh_builders.state_text(routes=[row]))
        self.assertEqual(found.document.routes[0].timeout_s, 600)


class CheckInTest(unittest.TestCase):
    """What upstreams say of themselves."""

    def _text(self, **changes):
        plain = {
            "service": "s",
            "address": "10.0.0.1:80",
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "coldLeftS": 1.5,
            "seq": 3,
            "born": 1234
        }
        plain.update(changes)
        return json.dumps(plain).encode()

    def test_decoded(self):
        """Each field arrives under the product's name."""
        found = wire.decode_check_in("u1", self._text(state="draining"))
        self.assertEqual((found.upstream_id, found.born, found.sequence),
                         ("u1", 1234, 3))
        self.assertTrue(found.draining)
        self.assertEqual(found.cold_s, 1.5)

    def test_unusable(self):
        """What can not be read names no upstream."""
        for text in (b"", b"{", self._text(slots="many"),
                     self._text(state="asleep"), self._text(born=None),
                     self._text(service=7), b"\xff\xfe"):
            with self.assertRaises(errors.CallError):
                wire.decode_check_in("u1", text)

    def test_lifetime_of_a_leave(self):
        """A deregistration tells its lifetime, or none."""
        self.assertEqual(wire.decode_deregistration(b'{"born": 7}'), 7)
        self.assertIsNone(wire.decode_deregistration(b""))
        self.assertIsNone(wire.decode_deregistration(b"garbage"))
