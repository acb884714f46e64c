"""Borrowing of rate limit tokens from other nodes."""

import asyncio
import math
import random
from typing import Final

from apricothinge import log
from apricothinge import metrics
from apricothinge import runtime
from apricothinge.link import connection
from apricothinge.link import frames
from apricothinge.mesh import peers
from apricothinge.mesh import tokens
from apricothinge.rates import loans

__all__ = ["TokenBorrower"]

# Nodes asked one after the other. Without a server, the tokens of a small rate
# are at one node in four.
_MAX_LENDERS: Final = 20
# A round trip between failure domains takes a few milliseconds, and the request
# that waits for it must not become late.
_REPLY_TIMEOUT_S: Final = 0.05
# Lenders that do not answer must not hold up a refusal for long.
_ROUND_TIMEOUT_S: Final = 0.2
_LINK_POLL_INTERVAL_S: Final = 0.02
# A loan covers the demand of this many seconds.
_LOAN_DEMAND_S: Final = 0.2


class _Round:
    """Requests that wait for one round of asking other nodes.

    Attributes:
        waiting: Number of requests.
        task: Asks the nodes; None until it is started.
    """

    __slots__ = ("waiting", "task")

    def __init__(self) -> None:
        self.waiting = 0
        self.task: asyncio.Task[None] | None = None


class TokenBorrower:
    """Asks other nodes for tokens while the token server gives none.

    The server may be lost, cut off or just elected, or may have handed out all
    tokens to nodes that do not need them.
    """

    __slots__ = ("_loop", "_peer_table", "_token_pool", "_metrics", "_rng",
                 "_own_instance", "_own_domain", "_book", "_backoff",
                 "_round_by_name", "_reply_by_name", "_lender_by_name")

    def __init__(self, own_instance: str, own_domain: str,
                 peer_table: peers.PeerTable, token_pool: tokens.TokenPool,
                 node_metrics: metrics.NodeMetrics, rng: random.Random) -> None:
        self._loop = asyncio.get_running_loop()
        self._own_instance = own_instance
        self._own_domain = own_domain
        self._peer_table = peer_table
        self._token_pool = token_pool
        self._metrics = node_metrics
        self._rng = rng
        self._book = loans.LoanBook()
        self._backoff = loans.LoanBackoff()
        self._round_by_name: dict[str, _Round] = {}
        self._reply_by_name: dict[str, tuple[str, asyncio.Future[int]]] = {}
        self._lender_by_name: dict[str, str] = {}
        peer_table.on_token_loan = self._handle_loan

    async def take(self, name: str) -> bool:
        """Spends a borrowed token, and borrows more if there is none.

        Returns:
            Whether a token was spent. It needs no refund.
        """
        if self._book.take(runtime.boottime_s(), name):
            return True
        if not self._backoff.may_ask(self._loop.time(), name):
            return False
        asking = self._round_by_name.get(name)
        if asking is None:
            asking = self._round_by_name[name] = _Round()
            asking.task = asyncio.ensure_future(self._ask(name, asking))
        asking.waiting += 1
        assert asking.task is not None
        await asyncio.wait((asking.task,))
        return self._book.take(runtime.boottime_s(), name)

    async def _ask(self, name: str, asking: _Round) -> None:
        """Asks one node after the other until one lends tokens."""
        lent = 0
        lender = ""
        give_up_at = self._loop.time() + _ROUND_TIMEOUT_S
        try:
            # Requests that arrive in the same turn share the round.
            await asyncio.sleep(0)
            candidates = self._candidates(name)
            while not candidates and self._loop.time() < give_up_at:
                # A node that has just started has no links yet.
                await asyncio.sleep(_LINK_POLL_INTERVAL_S)
                candidates = self._candidates(name)
            for lender, link in candidates:
                lent = await self._ask_node(name, asking, lender, link)
                if lent:
                    self._lender_by_name[name] = lender
                    break
                if self._loop.time() >= give_up_at:
                    break
        finally:
            del self._round_by_name[name]
            if not lent:
                self._lender_by_name.pop(name, None)
            self._backoff.record_result(self._loop.time(), name, lent > 0)
            self._metrics.token_loans.labels("lent" if lent else "none").inc()
            log.event("tokens:borrowed" if lent else "tokens:none_to_borrow",
                      organisation=name,
                      lender=lender,
                      count=lent,
                      waiting=asking.waiting)

    def _candidates(self, name: str) -> list[tuple[str, connection.Link]]:
        """Returns the nodes to ask and the links to them, in order.

        The holders come first, then the latest lender, then others at
        random; the own failure domain before the others.
        """
        now = self._loop.time()
        instances_by_domain: dict[str, list[str]] = {
            self._own_domain: [self._own_instance]
        }
        for instance, peer in self._peer_table.by_instance.items():
            if peer.listed:
                instances_by_domain.setdefault(peer.row.failure_domain,
                                               []).append(instance)
        holders = {
            loans.holder(name, instances)
            for instances in instances_by_domain.values()
        }
        last_lender = self._lender_by_name.get(name)
        usable = []
        for instance, peer in self._peer_table.by_instance.items():
            link = peer.outgoing_calls.link
            if link is None or link.closed or link.is_suspect(now):
                continue
            is_remote = peer.row.failure_domain != self._own_domain
            usable.append(
                (instance not in holders, instance
                 != last_lender, is_remote, self._rng.random(), instance, link))
        usable.sort(key=lambda row: row[:4])
        return [(row[4], row[5]) for row in usable[:_MAX_LENDERS]]

    async def _ask_node(self, name: str, asking: _Round, instance: str,
                        link: connection.Link) -> int:
        """Asks one node and returns the number of tokens that it lends."""
        count = max(asking.waiting,
                    math.ceil(self._token_pool.demand(name) * _LOAN_DEMAND_S),
                    1)
        reply: asyncio.Future[int] = self._loop.create_future()
        self._reply_by_name[name] = (instance, reply)
        requested_at = runtime.boottime_s()
        link.send(frames.TokenLoanRequest(name, count))
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                lent = await reply
        except TimeoutError:
            return 0
        finally:
            del self._reply_by_name[name]
        self._book.add(name, lent, requested_at)
        return lent

    def _handle_loan(self, instance: str, loan: frames.TokenLoan) -> None:
        """Handles an answer; one that comes too late is not used."""
        awaited, reply = self._reply_by_name.get(loan.name, ("", None))
        if reply is not None and awaited == instance and not reply.done():
            reply.set_result(loan.count)
