"""Context of a call, and its authenticated encoding between nodes."""

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
    """Properties of a call that are passed on from node to node.

    Attributes:
        request_id: Identifier of the request at the head of the call tree.
        organisation_id: Organisation that makes the call; empty on open routes.
        service: Called service.
        route: Method and path prefix of the request at the entry node.
        importance: Value of `lists.Importance`.
        weight: Weight of the organisation among calls of equal importance.
        timeout_ms: Milliseconds left until the deadline when the call was sent.
        retry_budget: Retries left for the call and its nested calls.
        remaining_depth: Number of nesting levels still allowed below the call.
        nesting_level: Number of calls between the entry node and this call.
        idempotent: Whether the call can be executed more than once safely.
        idempotency_key: Idempotency key sent by the caller, or empty.
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
        """The importance as an enum member."""
        return lists.Importance(self.importance)


class ContextCodec:
    """Encodes contexts with a digest that is keyed by the fleet secret."""

    __slots__ = ("_authenticator", "_encoder", "_decoder")

    def __init__(self, secret: str) -> None:
        self._authenticator = seal.MessageAuthenticator(secret)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Context)

    def encode(self, context: Context) -> bytes:
        """Encodes and signs a context as a header value."""
        return base64.b64encode(
            self._authenticator.sign(self._encoder.encode(context)))

    def decode(self, value: bytes) -> Context:
        """Verifies and decodes a header value.

        Raises:
            errors.CallError: CONTEXT_INVALID; the value is malformed or was
                signed with another secret.
        """
        try:
            raw = base64.b64decode(value, validate=True)
            return self._decoder.decode(self._authenticator.verify(raw))
        except (binascii.Error, msgspec.MsgspecError):
            raise errors.CallError(
                errors.Kind.CONTEXT_INVALID,
                "the call context was not signed with the fleet secret"
            ) from None
