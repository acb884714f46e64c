"""Tests of apricothinge.lists, settings and codec."""

import json
import pathlib
import tempfile
import unittest

from apricothinge import errors
from apricothinge import lists
from apricothinge import settings
from tests import builders

_HASH = "sha256:" + "0" * 64
_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def _organisations(**overrides):
    return {
        "version": 1,
        "organisations": {
            "o": {
                "plan": "p",
                "key_hashes": [_HASH]
            }
        }
    } | overrides


def _plans(**overrides):
    plan = {
        "rate_per_s": 10,
        "burst": 5,
        "routes": [{
            "service": "s",
            "path_prefix": "/a"
        }]
    }
    return {"version": 1, "plans": {"p": plan | overrides}}


class TemporaryFolderTestCase(unittest.TestCase):
    """Base class that provides a temporary folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name)

    def _write(self, name, value):
        text = value if isinstance(value, str) else json.dumps(value)
        (self.path / name).write_text(text, encoding="utf-8")


class ListsTest(TemporaryFolderTestCase):
    """Reading and validation of organisations and plans."""

    def _assert_invalid(self, organisations, plans, *parts):
        self._write("organisations.json", organisations)
        self._write("plans.json", plans)
        with self.assertRaises(errors.ApricothingeError) as caught:
            lists.read(self.path)
        self.assertIs(errors.Kind.CONFIGURATION_INVALID, caught.exception.kind)
        for part in parts:
            self.assertIn(part, caught.exception.detail)

    def test_invalid_fields(self):
        """Errors contain the field path, the value found and what is expected."""
        organisations = _organisations()
        for plans, parts in (
            (_plans(rate_per_s=-1), ("$.plans[...].rate_per_s", "> 0")),
            (_plans(burst="x"), ("$.plans[...].burst", "float", "str")),
            (_plans(brust=1), ("brust", "$.plans[...]")),
            (_plans(routes=[{
                "service": "s",
                "path_prefix": "a"
            }]), ("routes[0].path_prefix",)),
            (_plans(routes=[{
                "service": "s",
                "path_prefix": "/a",
                "importance": "vital"
            }]), ("importance",)),
            ("{", ("not JSON",)),
            ('{"version": 1, "version": 2, "plans": {}}', ("twice",)),
            (_plans(routes=2 * [{
                "service": "s",
                "path_prefix": "/a"
            }]), ("$.plans.p.routes[1]",)),
        ):
            with self.subTest(plans=plans):
                self._assert_invalid(organisations, plans, *parts)

    def test_references(self):
        """A missing plan and a key of two organisations are refused."""
        unknown = _organisations(
            organisations={"o": {
                "plan": "q",
                "key_hashes": []
            }})
        self._assert_invalid(unknown, _plans(), "$.organisations.o.plan", "'q'")
        row = {"plan": "p", "key_hashes": [_HASH]}
        self._assert_invalid(
            _organisations(organisations={
                "o": row,
                "o2": row
            }), _plans(), "$.organisations.o2.key_hashes[0]")

    def test_missing_file(self):
        """The error for a missing file contains its name."""
        with self.assertRaises(errors.ApricothingeError) as caught:
            lists.read(self.path)
        self.assertIn("organisations.json", caught.exception.detail)

    def test_examples(self):
        """The example lists and settings are valid."""
        for name in ("manivela-sul", "chiang-khong"):
            document = lists.read(_EXAMPLES / name)
            self.assertEqual(8, len(document.organisations.organisations))
            for path in (_EXAMPLES / name).glob("*settings*.json"):
                settings.read(path)

    def test_longest_matching_route(self):
        """The longest prefix wins, and matches only whole path segments."""
        compiled = lists.CompiledLists(
            1,
            builders.document(
                plans={
                    "p":
                        builders.plan(
                            builders.route("one", "/a"),
                            builders.route("two", "/a/b", importance="critical")
                        )
                }))
        for path, service in (("/a", "one"), ("/a/b/c", "two"), ("/a/bc",
                                                                 "one")):
            self.assertEqual(service,
                             compiled.find_route("o", "GET", path).service)
        self.assertIsNone(compiled.find_route("o", "GET", "/ab"))
        self.assertIsNone(compiled.find_route("o", "PUT", "/a"))


class SettingsTest(TemporaryFolderTestCase):
    """Reading and validation of settings."""

    def _assert_invalid(self, value, *parts):
        self._write("settings.json", value)
        with self.assertRaises(errors.ApricothingeError) as caught:
            settings.read(self.path / "settings.json")
        for part in parts:
            self.assertIn(part, str(caught.exception))

    def test_invalid_fields(self):
        """Errors contain the path of the invalid field."""
        address = {"host": "127.0.0.1", "port": 1}
        control = {
            "instance": "c",
            "failure_domain": "a",
            "rpc": address,
            "admin": address,
            "data": "d",
            "fleet_secret": "x" * 16
        }
        for change, parts in (
            ({
                "rpc": {
                    "host": "localhost",
                    "port": 1
                }
            }, ("$.control.rpc.host", "'localhost'")),
            ({
                "rpc": {
                    "host": "::1",
                    "port": 70000
                }
            }, ("$.control.rpc.port",)),
            ({
                "fleet_secret": "short"
            }, ("$.control.fleet_secret",)),
            ({
                "floor_part": 2
            }, ("$.control.floor_part",)),
            ({
                "flor_part": 0.1
            }, ("flor_part",)),
            ({
                "members": {
                    "x": {
                        "host": "h",
                        "port": 1
                    }
                }
            }, ("$.control.members.x.host",)),
        ):
            with self.subTest(change=change):
                self._assert_invalid(
                    {
                        "role": "control",
                        "control": control | change
                    }, *parts)
        self._assert_invalid({"role": "node"}, "`node`")
        self._assert_invalid({"role": "boss"}, "$.role")


if __name__ == "__main__":
    unittest.main()
