"""Authentication of messages between the processes of one fleet."""

import hashlib
import hmac
from typing import Final

from apricothinge import errors

__all__ = ["MessageAuthenticator"]

_DIGEST_BYTES: Final = 32


class MessageAuthenticator:
    """Puts a digest under the fleet secret in front of a message."""

    __slots__ = ("_secret",)

    def __init__(self, secret: str) -> None:
        # The keyed hash takes keys of up to 64 bytes.
        self._secret = hashlib.blake2b(secret.encode()).digest()

    def _digest(self, body: bytes) -> bytes:
        return hashlib.blake2b(body,
                               digest_size=_DIGEST_BYTES,
                               key=self._secret).digest()

    def sign(self, body: bytes) -> bytes:
        """Returns a body with its digest."""
        return self._digest(body) + body

    def verify(self, signed: bytes) -> bytes:
        """Returns the body of a sealed message.

        Raises:
            errors.CallError: It was not sealed with this fleet's secret.
        """
        body = signed[_DIGEST_BYTES:]
        if not hmac.compare_digest(self._digest(body), signed[:_DIGEST_BYTES]):
            raise errors.CallError(errors.Kind.CONTEXT_INVALID,
                                   "not from a process of this fleet")
        return body
