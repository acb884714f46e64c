"""Tests of admission by the probability that a tree is served to its end."""

import random
import unittest

from apricothinge import settings
from apricothinge.overload import completion
from apricothinge.overload import retry_budget
from apricothinge.overload import routing
from tests import mesh_fleet
from tests import test_mesh_nodes


class AdmissionTest(unittest.TestCase):
    """Admission by calls and rejections."""

    def test_no_rejections(self):
        """Without rejections everything is admitted."""
        self.assertEqual(
            1.0,
            completion.admission_probability({
                "s": 1.0,
                "t": 8.0
            }, {"t": 0.0}))
        self.assertEqual(1.0, completion.admission_probability({"s": 1.0}, {}))

    def test_single_call(self):
        """A request of one call is worth a try at a service that rejects."""
        self.assertEqual(
            1.0, completion.admission_probability({"t": 1.0}, {"t": 0.55}))

    def test_tree_of_many_calls(self):
        """A tree that would hardly be served is mostly refused, not always."""
        probability = completion.admission_probability({
            "s": 1.0,
            "t": 8.0
        }, {"t": 0.55})
        self.assertGreater(probability, 0.0)
        self.assertLess(probability, 0.1)

    def test_few_rejections(self):
        """Rejections that retries can mend refuse nobody."""
        self.assertEqual(
            1.0, completion.admission_probability({"t": 8.0}, {"t": 0.1}))


class RejectionMeterTest(unittest.TestCase):
    """Measured rejections of an upstream."""

    def test_service_avoided_for_good(self):
        """A service that gets no calls any more is tried again."""
        meter = completion.RejectionMeter(0.0)
        for index in range(200):
            meter.record(index * 0.01, index % 2 == 0)
        self.assertGreater(meter.fraction(2.0), 0.4)
        self.assertEqual(
            1.0,
            completion.admission_probability({"t": 8.0},
                                             {"t": meter.fraction(5.0)}))

    def test_single_rejection(self):
        """One rejection of an idle upstream means little."""
        meter = completion.RejectionMeter(0.0)
        meter.record(0.0, True)
        self.assertLess(meter.fraction(0.0), 0.2)


class _DeepService:
    """Trees and single requests for a service that rejects a part of its calls.

    Attributes:
        calls: Number of calls that it got.
        served_by_size: Number of requests served, by calls of the request.
    """

    def __init__(self, seed, admits):
        self.calls = 0
        self.served_by_size = {1: 0, 8: 0}
        self._rng = random.Random(seed)
        self._admits = admits
        self._meter = completion.RejectionMeter(0.0)
        self._budget = retry_budget.ServiceRetryBudget()

    def play(self, start, seconds, rejected_fraction):
        """Plays 100 single requests and 100 trees of eight calls a second."""
        for tick in range(int(seconds * 100)):
            now = start + tick / 100
            for size in self.served_by_size:
                probability = completion.admission_probability(
                    {"t": float(size)}, {"t": self._meter.fraction(now)})
                if self._admits and self._rng.random() >= probability:
                    continue
                self.served_by_size[size] += all(
                    self._call(now, rejected_fraction) for _ in range(size))

    def _call(self, now, rejected_fraction):
        self._budget.record_first_attempt(0)
        for attempt in range(2):
            if attempt and not self._budget.try_retry(0, False):
                return False
            self.calls += 1
            rejected = self._rng.random() < rejected_fraction
            self._meter.record(now, rejected)
            if not rejected:
                return True
        return False


class DeepServiceTest(unittest.TestCase):
    """The deepest service rejects 55 of 100 calls for some seconds."""

    def _play(self, admits):
        played = _DeepService(5, admits)
        played.play(0.0, 3.0, 0.0)
        before = dict(played.served_by_size)
        calls_before = played.calls
        played.play(3.0, 8.5, 0.55)
        during = {
            size: played.served_by_size[size] - before[size] for size in before
        }
        return played, during, played.calls - calls_before

    def test_calls_of_doomed_trees(self):
        """The calls of trees that fail in the end are not made."""
        _, served, calls = self._play(True)
        _, served_before, calls_before = self._play(False)
        self.assertLess(calls, 0.7 * calls_before)
        self.assertGreaterEqual(served[1], 0.95 * served_before[1])
        self.assertLess(served_before[8], 0.03 * 850)

    def test_trees_after_rejections(self):
        """Trees are admitted again once the service takes its calls."""
        played, _, _ = self._play(True)
        before = played.served_by_size[8]
        played.play(11.5, 2.0, 0.0)
        played.play(13.5, 2.0, 0.0)
        self.assertGreater(played.served_by_size[8] - before, 300)


class RouterTest(unittest.TestCase):
    """Rejections of a service as entries see them."""

    def test_weighted_by_slots(self):
        """Instances count by their slots."""
        router = routing.Router("a", "", random.Random(1))
        for index, (slots, rejected) in enumerate(((10, 0.6), (30, 0.2))):
            router.upsert(
                routing.Upstream(f"n{index}", "s", "a", "",
                                 settings.Address("127.0.0.1", 1), False, 1,
                                 0.0))
            router.by_instance[f"n{index}"].update_load(1, 0, slots, 1.0,
                                                        rejected)
        self.assertAlmostEqual(0.3, router.rejected_fractions()["s"])


class RejectingUpstreamTest(test_mesh_nodes.MeshTest):
    """An upstream that rejects requests, in a fleet."""

    async def test_rejections_published(self):
        """Callers of other nodes learn which part an upstream rejects."""
        await self.mesh.start(("s", "t"))

        async def handle(head, content, writer):
            del content
            answer = mesh_fleet.make_answer(head, b"", b"503 Busy")
            writer.write(
                answer.replace(
                    b"\r\n\r\n",
                    b"\r\n" + mesh_fleet.NAMES.not_run + b": 1\r\n\r\n", 1))
            return True

        self.mesh.upstreams[0].handler = handle
        for number in range(20):
            await self.mesh.send_request(1, request_id=b"q%d" % number)
        self.assertGreater(self.mesh.nodes[1]._router.rejected_fractions()["s"],
                           0.3)


if __name__ == "__main__":
    unittest.main()
