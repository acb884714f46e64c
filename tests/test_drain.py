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
        for expected_s, last in ((0.5, 2.9), (3.0, 2.4), (5.0, 0.4)):
            with self.subTest(expected_s):
                self.assertTrue(self.stop.accepts(last, _FAR, expected_s))
                self.assertFalse(self.stop.accepts(last + 0.2, _FAR,
                                                   expected_s))

    def test_signal_that_was_noticed_late(self):
        """Acceptance counts from the signal, the end from its notice."""
        stop = drain.Drain(0.0, 2.0, _GRACE_S)
        self.assertFalse(stop.accepts(3.0, _FAR, 0.1))
        self.assertAlmostEqual(stop.cuts_at, 2.0 + self.stop.cuts_at)

    def test_time_to_exit(self):
        """Some time is left to end the process, after the last sixth begins."""
        for grace_s, cuts_at in ((6.0, 5.5), (2.0, 1.75), (0.8, 0.7)):
            self.assertAlmostEqual(
                drain.Drain(0.0, 0.0, grace_s).cuts_at, cuts_at)

    def test_refused_caller_meets_the_next_process(self):
        """A refused caller is not told to return while this process runs."""
        for now in (0.5, 3.5, 5.6):
            for jitter in (0.0, 1.0):
                with self.subTest((now, jitter)):
                    back_at = now + self.stop.retry_after_s(now, jitter)
                    self.assertGreater(back_at, self.stop.cuts_at + 0.5)
                    self.assertLess(back_at, self.stop.cuts_at + 2.0)

    def test_end(self):
        """After the end nothing is accepted, not even what is short."""
        self.stop.end(1.0)
        self.assertFalse(self.stop.accepts(1.0, 1.1, 0.0))


class ResponseTimesTest(unittest.TestCase):
    """Averages of response times."""

    def test_two_speeds(self):
        """Where half of the upstreams are slow, both count."""
        times = drain.ResponseTimes()
        for number in range(200):
            times.record("r", 2.7 if number % 2 else 0.9)
        self.assertGreater(times.mean_s("r", 0.0), 1.5)
        self.assertLess(times.mean_s("r", 0.0), 2.7)

    def test_average(self):
        """Recent responses count; an unknown route has the default."""
        times = drain.ResponseTimes()
        for took_s in (0.2,) * 50 + (2.0,) * 50:
            times.record("r", took_s)
        self.assertAlmostEqual(times.mean_s("r", 0.0), 2.0, delta=0.05)
        self.assertEqual(times.mean_s("other", 1.5), 1.5)
