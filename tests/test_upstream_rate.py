"""Tests of apricothinge.overload.upstream_rate."""

import unittest

import hypothesis
from hypothesis import strategies

from apricothinge.overload import upstream_rate


class UpstreamRateLimiterTest(unittest.TestCase):
    """Requests to an upstream that names a rate."""

    def setUp(self):
        self.limiter = upstream_rate.UpstreamRateLimiter()

    def _taken(self, now):
        count = 0
        while count < 1000 and self.limiter.try_take(now):
            count += 1
        return count

    def test_no_limit(self):
        """Without a named rate there is no limit and no wait."""
        self.assertEqual(1000, self._taken(5.0))
        self.assertEqual(0.0, self.limiter.wait_s(100))

    @hypothesis.given(
        strategies.floats(0.0, 500.0),
        strategies.lists(strategies.floats(0.0, 3.0), min_size=1, max_size=60))
    def test_bound_of_each_window(self, rate, pauses):
        """However requests come, no four seconds exceed the stated bound."""
        limiter = upstream_rate.UpstreamRateLimiter()
        now = 100.0
        limiter.set_rate(now, rate)
        taken_at = []
        for pause in pauses:
            now += pause
            while len(taken_at) < 20000 and limiter.try_take(now):
                taken_at.append(now)
        for index, start in enumerate(taken_at):
            count = sum(at <= start + 4.0 for at in taken_at[index:])
            self.assertLessEqual(count, 1.5 * 4.0 * rate + 5)

    def test_rate_is_used(self):
        """Steady demand above the rate gets the rate."""
        self.limiter.set_rate(0.0, 25.0)
        taken = sum(self._taken(tick * 0.02) for tick in range(1, 501))
        self.assertAlmostEqual(250, taken, delta=2)

    def test_lifted_at_once(self):
        """A late response that names no rate does not end the limit."""
        self.limiter.set_rate(0.0, 10.0)
        self.limiter.handle_no_rate(0.1)
        self.assertEqual(10.0, self.limiter.rate)
        self.limiter.handle_no_rate(1.0)
        self.assertEqual(0.0, self.limiter.rate)

    def test_rate_of_zero(self):
        """An upstream that takes nothing still shows when it recovers."""
        self.limiter.set_rate(0.0, 0.0)
        taken = sum(self._taken(tick * 0.1) for tick in range(41))
        self.assertTrue(1 <= taken <= 5, taken)

    def test_wait(self):
        """The wait of a request counts those ahead and the saved tokens."""
        self.limiter.set_rate(0.0, 10.0)
        self.assertAlmostEqual(0.1, self.limiter.wait_s(0))
        self.assertAlmostEqual(0.4, self.limiter.wait_s(3))
        self.assertTrue(self.limiter.try_take(0.2))
        self.assertAlmostEqual(0.0, self.limiter.wait_s(0))

    def test_token_given_back(self):
        """The token of a request that was not sent is used by the next."""
        self.limiter.set_rate(0.0, 10.0)
        self.assertTrue(self.limiter.try_take(0.1))
        self.assertFalse(self.limiter.try_take(0.1))
        self.limiter.give_back()
        self.assertTrue(self.limiter.try_take(0.1))


if __name__ == "__main__":
    unittest.main()
