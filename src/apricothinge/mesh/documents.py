"""The desired state of a mesh: routes, services and organisations."""

import enum
import hashlib
import zlib
from typing import Annotated, Final

import msgspec

__all__ = [
    "ClientLimits", "CompiledDocument", "Document", "Organisation", "Part",
    "Route", "RouteKind", "Service", "pack", "unpack"
]

_KEY_DIGEST_BYTES: Final = 16
_COMPRESSION_LEVEL: Final = 1


class RouteKind(enum.Enum):
    """What may be repeated, and how large the content is."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


class Part(msgspec.Struct, frozen=True):
    """A service that gets a part of a route's requests.

    Attributes:
        service: Its name.
        weight: Share of the requests, relative to the other parts.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Requests of one host and path prefix, and how they are served.

    Attributes:
        name: Its name.
        host: Host name of the requests.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a request is kept waiting, in seconds.
        latency_objective_s: Time in which an answer is worth most, seconds.
        priority: Importance, 0 first.
        attempts: Upstreams to which one request may be sent at most.
        anonymous: Whether it needs no key.
        parts: Services that take its requests.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    latency_objective_s: float
    priority: int
    attempts: int
    anonymous: bool
    parts: list[Part]


class Service(msgspec.Struct, frozen=True):
    """A service.

    Attributes:
        name: Its name.
        connections: Connections that one of its upstreams accepts.
    """

    name: str
    connections: int


class Organisation(msgspec.Struct, frozen=True):
    """A customer.

    Attributes:
        name: Its name.
        keys: Keys that its callers present.
        priority: Importance, 0 first; goes before that of a route.
        rate_per_s: Requests per second in the whole fleet; 0 for no limit.
        burst: Requests beyond the rate at once.
    """

    name: str
    keys: list[str]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


class ClientLimits(msgspec.Struct, frozen=True):
    """Bounds on what callers send, in bytes and seconds."""

    header_bytes: Annotated[int, msgspec.Meta(ge=0)] = 32768
    body_bytes: Annotated[int, msgspec.Meta(ge=0)] = 64 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class Document(msgspec.Struct, frozen=True):
    """One whole desired state."""

    version: int
    routes: list[Route]
    services: list[Service]
    organisations: list[Organisation] | None = None
    limits: ClientLimits = ClientLimits()


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Document)


def pack(document: Document) -> bytes:
    """Encodes and compresses a document for the log and for links."""
    return zlib.compress(_ENCODER.encode(document), _COMPRESSION_LEVEL)


def unpack(data: bytes) -> Document:
    """Reverses `pack`."""
    return _DECODER.decode(zlib.decompress(data))


def key_digest(key: str) -> bytes:
    """Names a key without holding it."""
    return hashlib.blake2b(key.encode(), digest_size=_KEY_DIGEST_BYTES).digest()


class _WeightedRoundRobin:
    """Smooth weighted round robin over the parts of a route."""

    __slots__ = ("_parts", "_total", "_credit")

    def __init__(self, parts: list[Part]) -> None:
        self._parts = [part for part in parts if part.weight > 0]
        self._total = sum(part.weight for part in self._parts)
        self._credit = [0.0] * len(self._parts)

    def next(self) -> str:
        """Returns the service that is owed most."""
        if len(self._parts) == 1:
            return self._parts[0].service
        best = 0
        for index, part in enumerate(self._parts):
            self._credit[index] += part.weight
            if self._credit[index] > self._credit[best]:
                best = index
        self._credit[best] -= self._total
        return self._parts[best].service


class CompiledDocument:
    """A document with what a node looks up for each request.

    Attributes:
        revision: Grows by one with each accepted document.
        document: The document.
        organisation_by_name: Organisations.
    """

    __slots__ = ("revision", "document", "organisation_by_name",
                 "_route_by_prefix_by_host", "_organisation_by_digest",
                 "_balancer_by_route")

    def __init__(self, revision: int, document: Document) -> None:
        self.revision = revision
        self.document = document
        organisations = document.organisations or []
        self.organisation_by_name = {row.name: row for row in organisations}
        self._organisation_by_digest = {
            key_digest(key): row for row in organisations for key in row.keys
        }
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            self._route_by_prefix_by_host.setdefault(
                route.host.lower(), {})[route.path_prefix] = route
        self._balancer_by_route: dict[tuple[str, str], _WeightedRoundRobin] = {}

    @property
    def requires_keys(self) -> bool:
        """Whether routes that are not open need a key."""
        return self.document.organisations is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Finds the route of the longest prefix of a path."""
        by_prefix = self._route_by_prefix_by_host.get(
            host.partition(":")[0].lower())
        if by_prefix is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            found = by_prefix.get(path[:end])
            if found is not None:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def organisation_by_key(self, key: str) -> Organisation | None:
        """Finds whose key it is."""
        return self._organisation_by_digest.get(key_digest(key))

    def choose_service(self, route: Route) -> str:
        """Chooses the service for the next request of a route of this state."""
        route_id = (route.host, route.path_prefix)
        balancer = self._balancer_by_route.get(route_id)
        if balancer is None:
            balancer = self._balancer_by_route[route_id] = _WeightedRoundRobin(
                route.parts)
        return balancer.next()
