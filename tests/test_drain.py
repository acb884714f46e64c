"""Tests of what a process that is being stopped takes on."""

import unittest

from apricothinge.overload import drain

_GRACE_S = 6.0
_FAR = 100.0


class DrainTest(unittest.TestCase):
    """Acceptance of requests after a stop at time 0."""

    def setUp(self):
        self.stop = drain.Drain(0.0, 0.0, _GRACE_S)

    def test_nothing_accepted_that_outlasts_the_process(self):
        """What is accepted after 3 s can't be cut, however long it takes."""
        for tenths in range(30, 60):
            now = tenths / 10
            with self.subTest(now):
                self.assertFalse(self.stop.accepts(now, _FAR, 0.0))
                self.assertFalse(self.stop.accepts(now, _GRACE_S, 0.0))
        self.assertTrue(self.stop.accepts(4.0, 4.7, 0.0))

    def test_slow_requests_are_refused_earlier(self):
        """A request is accepted while its response is expected in time."""
        for expected_s, last in ((0.5, 2.9), (3.0, 2.6), (5.0, 0.6)):
            with self.subTest(expected_s):
                self.assertTrue(self.stop.accepts(last, _FAR, expected_s))
                self.assertFalse(self.stop.accepts(last + 0.2, _FAR,
                                                   expected_s))

    def test_signal_that_was_noticed_late(self):
        """Acceptance counts from the signal, the end from its notice."""
        stop = drain.Drain(0.0, 2.0, _GRACE_S)
        self.assertFalse(stop.accepts(3.0, _FAR, 0.1))
        self.assertAlmostEqual(stop.cuts_at, 7.7)

    def test_end(self):
        """After the end nothing is accepted, not even what is short."""
        self.stop.end(1.0)
        self.assertFalse(self.stop.accepts(1.0, 1.1, 0.0))


class ResponseTimesTest(unittest.TestCase):
    """Upper estimates of response times."""

    def test_two_speeds(self):
        """Where half of the upstreams are slow, the slow ones count."""
        times = drain.ResponseTimes()
        for number in range(200):
            times.record("r", 2.7 if number % 2 else 0.9)
        self.assertGreater(times.upper_s("r", 0.0), 2.7)
        self.assertLess(times.upper_s("r", 0.0), 2 * 2.7)
        self.assertEqual(times.upper_s("other", 1.5), 1.5)
