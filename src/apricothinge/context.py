"""The context of a call and its authenticated form between nodes."""

import base64
import binascii
from typing import Final

import msgspec

from apricothinge import errors
from apricothinge import lists
from apricothinge import seal

__all__ = ["Context", "ContextCodec", "HEADER"]

HEADER: Final = b"apricothinge-context"


class Context(msgspec.Struct, frozen=True, array_like=True):
    """What every node on the path of a call knows about it.

    Attributes:
        request_id: Names the whole tree of calls.
        organisation_id: Whose call it is; empty on open routes.
        service: The service that is called.
        route: Method and path prefix at the entry, for admission levels.
        importance: Value of `lists.Importance`.
        weight: Share of the organisation inside its importance.
        timeout_ms: Time left until the deadline, at the time of sending.
        retry_budget: Retries that this call's subtree may still spend.
        remaining_depth: Further nested levels that are allowed.
        nesting_level: Levels between the entry and this call.
        idempotent: Whether running it twice is harmless.
        idempotency_key: The caller's key for this operation, or empty.
    """

    request_id: str
    organisation_id: str
    service: str
    route: str
    importance: int
    weight: float
    timeout_ms: int
    retry_budget: int
    remaining_depth: int
    nesting_level: int
    idempotent: bool
    idempotency_key: str = ""

    @property
    def importance_level(self) -> lists.Importance:
        """The importance as an enum."""
        return lists.Importance(self.importance)


class ContextCodec:
    """Encodes contexts so that only holders of the secret can make one."""

    __slots__ = ("_authenticator", "_encoder", "_decoder")

    def __init__(self, secret: str) -> None:
        self._authenticator = seal.MessageAuthenticator(secret)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Context)

    def encode(self, context: Context) -> bytes:
        """Encodes a context as a header value."""
        return base64.b64encode(
            self._authenticator.sign(self._encoder.encode(context)))

    def decode(self, value: bytes) -> Context:
        """Decodes a header value.

        Raises:
            errors.CallError: It was not sealed with this fleet's secret.
        """
        try:
            raw = base64.b64decode(value, validate=True)
            return self._decoder.decode(self._authenticator.verify(raw))
        except (binascii.Error, msgspec.MsgspecError):
            raise errors.CallError(
                errors.Kind.CONTEXT_INVALID,
                "the context is not from a node of this fleet") from None
