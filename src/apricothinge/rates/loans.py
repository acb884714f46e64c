"""Tokens that a node borrows from other nodes for a short time."""

import collections
from collections.abc import Iterable
import hashlib
from typing import Final

__all__ = ["LOAN_VALID_S", "LoanBackoff", "LoanBook", "holder", "loan_size"]

# A loan is for requests that wait for it, and is lost if they have gone.
LOAN_VALID_S: Final = 0.5
# A lender keeps what its own callers need in this many seconds.
_RESERVE_S: Final = 0.3
# An organisation that uses all of its rate has no tokens anywhere, and asking
# for them again would cost messages for each refused request.
_MIN_BACKOFF_S: Final = 0.1
_MAX_BACKOFF_S: Final = 3.2


def loan_size(available: int, demand: float, requested: int) -> int:
    """Returns how many tokens a node lends.

    Handles a fleet without a token server, in which some nodes run out of
    tokens of an organisation while others hold more than they need.

    Args:
        available: Unspent tokens of the lender.
        demand: Requests per second of the lender's own callers.
        requested: Tokens that the borrower asks for.
    """
    reserve = int(demand * _RESERVE_S)
    return max(0, min(requested, available - reserve))


def holder(name: str, instances: Iterable[str]) -> str:
    """Returns the instance of a failure domain that keeps tokens for others.

    Handles small rates over many nodes: a few tokens at each would mostly stay
    unused, and with all of them at the server there would be none without it.
    Every node comes to the same result (rendezvous hashing).

    Args:
        name: Name of the organisation.
        instances: Instances of the failure domain, at least one.
    """
    return max(instances,
               key=lambda instance: hashlib.blake2b(
                   f"{name}\0{instance}".encode(), digest_size=8).digest())


class _Loan:
    """Tokens of one loan.

    Attributes:
        count: Unspent tokens.
        valid_until: Boot time in seconds at which they become invalid.
    """

    __slots__ = ("count", "valid_until")

    def __init__(self, count: int, valid_until: float) -> None:
        self.count = count
        self.valid_until = valid_until


class LoanBook:
    """Borrowed tokens of a node, by organisation.

    The lender counts them as spent from the end of their validity on. The
    borrower only needs to spend them in time, so neither a restart of it nor a
    change of the token server can make a token count twice.
    """

    __slots__ = ("_loans_by_name",)

    def __init__(self) -> None:
        self._loans_by_name: dict[str, collections.deque[_Loan]] = {}

    def add(self, name: str, count: int, requested_at: float) -> None:
        """Adds a loan; `requested_at` is the boot time of its request."""
        if count > 0:
            self._loans_by_name.setdefault(name, collections.deque()).append(
                _Loan(count, requested_at + LOAN_VALID_S))

    def take(self, now: float, name: str) -> bool:
        """Spends a token at a boot time; returns False if none is valid."""
        loans = self._loans_by_name.get(name)
        while loans:
            loan = loans[0]
            if loan.count > 0 and now < loan.valid_until:
                loan.count -= 1
                return True
            loans.popleft()
        self._loans_by_name.pop(name, None)
        return False


class LoanBackoff:
    """Limits how often a node asks for tokens that nobody has."""

    __slots__ = ("_pause_by_name", "_next_at_by_name")

    def __init__(self) -> None:
        self._pause_by_name: dict[str, float] = {}
        self._next_at_by_name: dict[str, float] = {}

    def may_ask(self, now: float, name: str) -> bool:
        """Returns whether to ask for tokens of an organisation now."""
        return now >= self._next_at_by_name.get(name, now)

    def record_result(self, now: float, name: str, lent: bool) -> None:
        """Records whether anyone had tokens."""
        if lent:
            self._pause_by_name.pop(name, None)
            self._next_at_by_name.pop(name, None)
            return
        pause_s = min(_MAX_BACKOFF_S,
                      2 * self._pause_by_name.get(name, _MIN_BACKOFF_S / 2))
        self._pause_by_name[name] = pause_s
        self._next_at_by_name[name] = now + pause_s
