"""Encoding and authentication of gRPC messages between processes."""

from typing import Any, Final, TypeVar

import grpc
import msgspec

from apricothinge import errors
from apricothinge import seal
from apricothinge import settings
from apricothinge.control import control_pb2
from apricothinge.control import control_pb2_grpc

__all__ = ["Codec", "channel", "stub"]

_MAX_MESSAGE_BYTES: Final = 256 << 20

GRPC_OPTIONS: Final = (
    ("grpc.max_receive_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.max_send_message_length", _MAX_MESSAGE_BYTES),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_http_proxy", 0),
    ("grpc.so_reuseport", 0),
    ("grpc.use_local_subchannel_pool", 1),
)

_T = TypeVar("_T")


class Codec:
    """Encodes messages and authenticates them with the fleet secret."""

    __slots__ = ("_seal", "_encoder", "_decoder_by_type")

    def __init__(self, secret: str) -> None:
        self._seal = seal.MessageAuthenticator(secret)
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder_by_type: dict[Any, msgspec.msgpack.Decoder[Any]] = {}

    def seal(self, message: object) -> control_pb2.Sealed:
        """Encodes and authenticates a message."""
        return control_pb2.Sealed(
            body=self._seal.sign(self._encoder.encode(message)))

    def open(self, sealed: control_pb2.Sealed, message_type: Any) -> Any:
        """Verifies and decodes a message.

        Args:
            sealed: Message as received.
            message_type: Expected message class or union of classes.

        Raises:
            errors.ApricothingeError: The message is malformed or was sealed
                with another secret.
        """
        body = self._seal.verify(sealed.body)
        decoder = self._decoder_by_type.get(message_type)
        if decoder is None:
            decoder = msgspec.msgpack.Decoder(message_type)
            self._decoder_by_type[message_type] = decoder
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as error:
            raise errors.ApricothingeError(errors.Kind.MALFORMED_REQUEST,
                                           str(error)) from None


def channel(address: settings.Address) -> Any:
    """Creates a channel, which connects at the first call."""
    return grpc.aio.insecure_channel(str(address), options=GRPC_OPTIONS)


def stub(grpc_channel: Any) -> Any:
    """Creates a stub for calls on a channel."""
    return control_pb2_grpc.ControlStub(
        grpc_channel)  # type: ignore[no-untyped-call]
