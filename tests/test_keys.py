"""Tests of apricothinge.keys and of the table of error responses."""

import base64
import unittest

from apricothinge import errors
from apricothinge import keys


class ExtractTest(unittest.TestCase):
    """Extraction of the key from a request."""

    def test_key_locations(self):
        """The key is found in each supported location and removed from it."""
        basic = b"Basic " + base64.b64encode(b"k1:")
        for target, headers in (
            ("/a?key=k1&x=1", []),
            ("/a?x=1&%6Bey=k1", []),
            ("/a?x=1", [(b"x-api-key", b"k1")]),
            ("/a?x=1", [(b"authorization", b"Bearer k1")]),
            ("/a?x=1", [(b"authorization", basic)]),
            ("/a?x=1", [(b"authorization", b"k1")]),
        ):
            with self.subTest(target=target, headers=headers):
                key, remaining_target, remaining_headers = keys.extract(
                    target, headers)
                self.assertEqual("k1", key)
                self.assertEqual("/a?x=1", remaining_target)
                self.assertEqual([], remaining_headers)

    def test_header_containing_the_key(self):
        """A header whose value contains the key is removed."""
        _, _, remaining_headers = keys.extract(
            "/a?key=secret1", [(b"referer", b"http://h/?key=secret1"),
                               (b"accept", b"*/*")])
        self.assertEqual([(b"accept", b"*/*")], remaining_headers)

    def test_internal_headers(self):
        """Internal headers sent by a caller are removed."""
        _, _, remaining_headers = keys.extract("/a",
                                               [(b"apricothinge-context", b"x"),
                                                (b"accept", b"*/*")])
        self.assertEqual([(b"accept", b"*/*")], remaining_headers)

    def test_two_keys(self):
        """Two different keys in one request are refused."""
        with self.assertRaises(errors.CallError) as caught:
            keys.extract("/a?key=k1", [(b"x-api-key", b"k2")])
        self.assertIs(errors.Kind.MALFORMED_REQUEST, caught.exception.kind)

    def test_key_in_path(self):
        """A request whose path contains the key is refused, not forwarded."""
        with self.assertRaises(errors.CallError):
            keys.extract("/a/secret1", [(b"x-api-key", b"secret1")])


class ErrorResponsesTest(unittest.TestCase):
    """Responses by error kind."""

    def test_complete(self):
        """Every error kind has a response."""
        self.assertEqual(set(errors.Kind), set(errors.RESPONSE_BY_KIND))
