"""Tests of nested calls that take over the importance of their root."""

import unittest

from apricothinge.mesh import admission_queue
from apricothinge.mesh import parents
from apricothinge.overload import retry_budget
from tests import mesh_builders
from tests import mesh_fleet
from tests import test_mesh_nodes


class RunningRequestsTest(unittest.TestCase):
    """The parent of a nested call."""

    def setUp(self):
        self.running = parents.RunningRequests()

    def test_importance_of_root(self):
        """Nested calls go before all requests, by the importance of the root.

        That holds at any depth.
        """
        self.running.add("abcd", 0)
        self.running.add("efgh", 302)
        important = self.running.rank_of_call("abcd.1")
        other = self.running.rank_of_call("efgh.1")
        self.assertLess(important, other)
        self.assertLess(other, parents.NESTED_RANK)
        self.running.add("abcd.1", important)
        self.assertEqual(important, self.running.rank_of_call("abcd.1.7"))

    def test_parent_ended(self):
        """An ended request is not a parent any more."""
        self.running.add("abcd", 0)
        self.running.remove("abcd")
        self.running.remove("abcd")
        self.assertEqual(parents.NESTED_RANK,
                         self.running.rank_of_call("abcd.1"))

    def test_other_identifiers(self):
        """Calls that do not name their parent are treated as before."""
        self.running.add("abcd", 0)
        for request_id in ("", "abcd", "abce.1", "zz"):
            self.assertEqual(parents.NESTED_RANK,
                             self.running.rank_of_call(request_id))
        self.assertEqual((0, 4), (self.running.matched, self.running.unmatched))


class QueueTest(unittest.TestCase):
    """Order of waiting calls beside a full upstream."""

    def test_unimportant_trees_starved(self):
        """Nested calls wait in the order of arrival, before other requests.

        By importance, twice as many trees of the least important route failed
        after they had been admitted.
        """
        queue = admission_queue.AdmissionQueue()
        queue.slots = 1
        queue.offer(0.0, admission_queue.Ticket(-1, 9.0, 0.0))
        ranks = [0, parents.nested_rank(302), -1, parents.nested_rank(0)]
        tickets = [
            admission_queue.Ticket(parents.queue_rank(rank), 99.0, 0.0)
            for rank in ranks
        ]
        for ticket in tickets:
            queue.offer(0.0, ticket)
        order = []
        for _ in tickets:
            queue.release(0.1)
            order += queue.admit_waiting(1.0)
        self.assertEqual(tickets[1:] + tickets[:1], order)


class RetriesByRankTest(unittest.TestCase):
    """The retry budget while a service rejects 55 of 100 calls."""

    def _granted(self, ranks):
        """Returns granted retries by rank, for calls that are all rejected."""
        budget = retry_budget.ServiceRetryBudget()
        granted = dict.fromkeys(ranks, 0)
        for number in range(8000):
            budget.record_first_attempt(0)
            if number % 20 < 11:
                rank = ranks[number % len(ranks)]
                granted[rank] += budget.try_retry(0, False, rank)
        return granted

    def test_retries_of_important_trees(self):
        """Most of the budget goes to the more important calls."""
        granted = self._granted([-1000, -700, -700, -700])
        self.assertGreater(granted[-1000], 3 * granted[-700])

    def test_total(self):
        """The total does not depend on the importance of the calls."""
        mixed = sum(self._granted([-1000, -700]).values())
        equal = sum(self._granted([-700, -700]).values())
        self.assertLessEqual(mixed, equal + 5)
        self.assertGreater(mixed, 0.8 * equal)


class NestedCallTest(test_mesh_nodes.MeshTest):
    """Nested calls in a fleet."""

    async def test_rank_of_nested_call(self):
        """A nested call gets the importance of the request that makes it."""
        await self.mesh.start(("s", "t"),
                              mesh_builders.document(
                                  routes=[
                                      mesh_builders.route("r",
                                                          path_prefix="/a/",
                                                          priority=2),
                                      mesh_builders.route("n",
                                                          path_prefix="/n/",
                                                          service="t",
                                                          anonymous=True)
                                  ],
                                  organisations=[
                                      mesh_builders.organisation(rate_per_s=0.0,
                                                                 priority=1)
                                  ]))
        ranks = []
        run = self.mesh.nodes[1].upstream.run

        async def record(upstream_request):
            ranks.append(upstream_request.call.rank)
            return await run(upstream_request)

        self.mesh.nodes[1].incoming_calls._handler = record

        async def handle(head, content, writer):
            del content
            for request_id in (b"q1.aa", b"unrelated"):
                await self.mesh.send_request(0, "/n/1", request_id=request_id)
            writer.write(mesh_fleet.make_answer(head))
            return True

        self.mesh.upstreams[0].handler = handle
        status, _, _ = await self.mesh.send_request(0,
                                                    request_id=b"q1",
                                                    headers=[(b"x-api-key",
                                                              b"k1")])
        self.assertEqual(200, status)
        self.assertEqual([parents.nested_rank(102), parents.NESTED_RANK], ranks)


if __name__ == "__main__":
    unittest.main()
