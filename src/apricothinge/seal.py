"""Message authentication between the processes of a fleet."""

import hashlib
import hmac
from typing import Final

from apricothinge import errors

__all__ = ["MessageAuthenticator"]

_DIGEST_BYTES: Final = 32


class MessageAuthenticator:
    """Prefixes messages with a keyed BLAKE2b digest.

    Messages are authenticated, but not encrypted.
    """

    __slots__ = ("_secret",)

    def __init__(self, secret: str) -> None:
        # BLAKE2b accepts keys of at most 64 bytes, so the secret is hashed.
        self._secret = hashlib.blake2b(secret.encode()).digest()

    def _digest(self, body: bytes) -> bytes:
        return hashlib.blake2b(body,
                               digest_size=_DIGEST_BYTES,
                               key=self._secret).digest()

    def sign(self, body: bytes) -> bytes:
        """Returns a body prefixed with its digest."""
        return self._digest(body) + body

    def verify(self, signed: bytes) -> bytes:
        """Verifies a signed message and returns its body.

        Raises:
            errors.CallError: CONTEXT_INVALID; the message was not signed with
                the fleet secret.
        """
        body = signed[_DIGEST_BYTES:]
        if not hmac.compare_digest(self._digest(body), signed[:_DIGEST_BYTES]):
            raise errors.CallError(
                errors.Kind.CONTEXT_INVALID,
                "the message was not signed with the fleet secret")
        return body
