"""Tests of apricothinge.mesh.announcements."""

import unittest

from apricothinge.link import frames
from apricothinge.mesh import announcements
from apricothinge.overload import upstream_rate
from tests import mesh_fleet

_NAMES = mesh_fleet.NAMES


def _row(born=1000, **fields):
    return frames.UpstreamRow("u1", born, "s", 4, True, 0.0, **fields)


class AnnouncementsTest(unittest.TestCase):
    """What is read from responses, published and recalled."""

    def setUp(self):
        self.limiter = upstream_rate.UpstreamRateLimiter()
        self.announcements = announcements.Announcements(_NAMES, self.limiter)
        self.announcements.start_lifetime(0.0, "u1", 1000)

    def _read(self, now, rate=None, leaving=None):
        headers = [(b"content-type", b"text/plain")]
        if rate is not None:
            headers.append((_NAMES.rate_limit, rate))
        if leaving is not None:
            headers.append((_NAMES.leaving, leaving))
        return self.announcements.read(now, headers)

    def test_nothing_announced(self):
        """A plain response changes nothing."""
        self.assertFalse(self._read(1.0))
        self.assertFalse(self._read(1.0, leaving=b"0"))
        self.assertFalse(self.announcements.leaving)
        self.assertEqual(0.0, self.limiter.rate)

    def test_rate_published_seldom(self):
        """Each rate is applied, but published only now and then."""
        published = sum(
            self._read(1.0 + index / 100, b"20" if index % 2 else b"30.5")
            for index in range(300))
        self.assertLessEqual(published, 4)
        self._read(5.0, b"7.5")
        self.assertEqual(7.5, self.limiter.rate)
        self.assertEqual(7.5, self.announcements.rate_limit)

    def test_invalid_rate(self):
        """A rate that is no number neither sets nor ends a limit."""
        self._read(1.0, b"12")
        for text in (b"", b"-3", b"nan", b"1e9", b"many", b"9" * 20):
            self._read(9.0, text)
            self.assertEqual(12.0, self.limiter.rate)

    def test_leaving_is_final(self):
        """A later response without the header does not bring it back."""
        self.assertTrue(self._read(1.0, leaving=b"1"))
        self.assertFalse(self._read(2.0))
        self.assertTrue(self.announcements.leaving)
        self.announcements.start_lifetime(3.0, "u1", 2000)
        self.assertFalse(self.announcements.leaving)

    def test_recalled_before_check_in(self):
        """What another node knows applies once the lifetime starts."""
        self.assertFalse(
            self.announcements.recall(
                1.0, _row(born=2000, leaving=True, rate_limit=5.0), False))
        self.announcements.start_lifetime(2.0, "u1", 3000)
        self.assertFalse(self.announcements.leaving)
        self.announcements.start_lifetime(3.0, "u1", 2000)
        self.assertTrue(self.announcements.leaving)
        self.assertEqual(5.0, self.limiter.rate)

    def test_recalled_after_response(self):
        """A rate that was read is newer than one that is recalled."""
        self._read(1.0)
        self.assertFalse(
            self.announcements.recall(1.1, _row(rate_limit=5.0), True))
        self.assertEqual(0.0, self.limiter.rate)


if __name__ == "__main__":
    unittest.main()
