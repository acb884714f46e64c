"""The desired state of a mesh: routes, services and organisations."""

import enum
import hashlib
from typing import Annotated, Final
import zlib

import msgspec

__all__ = [
    "ClientLimits", "CompiledDocument", "Document", "Organisation", "Part",
    "Route", "RouteKind", "Service", "pack", "unpack"
]

_KEY_DIGEST_BYTES: Final = 16
_COMPRESSION_LEVEL: Final = 1


class RouteKind(enum.Enum):
    """Retry safety of a route, and whether it takes large content."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    UPLOAD = "upload"


class Part(msgspec.Struct, frozen=True):
    """A service that receives a weighted share of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other parts of the route.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How requests with a host and a path prefix are served.

    Attributes:
        name: Name of the route.
        host: Host name of the requests.
        path_prefix: Path prefix, which begins and ends with a slash.
        kind: Whether requests may be retried.
        timeout_s: Timeout of a request in seconds.
        latency_objective_s: Latency objective in seconds.
        priority: Importance; 0 is the highest.
        attempts: Maximum number of upstreams to which a request is sent.
        anonymous: Whether requests need no key.
        parts: Services that share the requests.
        homes: Regions that the requests stay in, or None for any.
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
    homes: list[str] | None = None


class Service(msgspec.Struct, frozen=True):
    """A service and the limits of its upstreams.

    Attributes:
        name: Name of the service.
        connections: Maximum number of connections to one of its upstreams.
        warm_up_s: Seconds that an upstream is cold after its start.
        cold_rate_per_s: Requests per second that a cold upstream takes; 0 for
            no limit.
    """

    name: str
    connections: int
    warm_up_s: float = 0.0
    cold_rate_per_s: float = 0.0


class Organisation(msgspec.Struct, frozen=True):
    """A customer with its keys, priority and rate limit.

    Attributes:
        name: Name of the organisation.
        keys: Keys that its callers present.
        priority: Importance; 0 is the highest. Takes precedence over the
            priority of a route.
        rate_per_s: Requests per second across the fleet; 0 for no limit.
        burst: Number of requests allowed at once beyond the rate.
        homes: Regions that the requests stay in, or None for any.
    """

    name: str
    keys: list[str]
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    homes: list[str] | None = None


class ClientLimits(msgspec.Struct, frozen=True):
    """Limits on requests and connections of callers, in bytes and seconds."""

    header_bytes: Annotated[int, msgspec.Meta(ge=0)] = 32768
    body_bytes: Annotated[int, msgspec.Meta(ge=0)] = 64 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class Document(msgspec.Struct, frozen=True):
    """The complete desired state of a mesh."""

    version: int
    routes: list[Route]
    services: list[Service]
    organisations: list[Organisation] | None = None
    limits: ClientLimits = ClientLimits()


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Document)


def pack(document: Document) -> bytes:
    """Encodes and compresses a document for storage and transfer."""
    return zlib.compress(_ENCODER.encode(document), _COMPRESSION_LEVEL)


def unpack(data: bytes) -> Document:
    """Decodes a document encoded by `pack`."""
    return _DECODER.decode(zlib.decompress(data))


def key_digest(key: str) -> bytes:
    """Returns a digest by which a key is looked up without being stored."""
    return hashlib.blake2b(key.encode(), digest_size=_KEY_DIGEST_BYTES).digest()


class _WeightedRoundRobin:
    """Smooth weighted round robin over the parts of a route."""

    __slots__ = ("_parts", "_total", "_credit")

    def __init__(self, parts: list[Part]) -> None:
        self._parts = [part for part in parts if part.weight > 0]
        self._total = sum(part.weight for part in self._parts)
        self._credit = [0.0] * len(self._parts)

    def next(self) -> str:
        """Returns the service with the highest credit."""
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
    """A document with indexes for the lookups of each request.

    Attributes:
        revision: Revision, incremented by each accepted change.
        document: The document.
        organisation_by_name: Organisations by name.
        service_by_name: Services by name.
    """

    __slots__ = ("revision", "document", "organisation_by_name",
                 "service_by_name", "_route_by_prefix_by_host",
                 "_organisation_by_digest", "_balancer_by_route")

    def __init__(self, revision: int, document: Document) -> None:
        self.revision = revision
        self.document = document
        organisations = document.organisations or []
        self.organisation_by_name = {
            organisation.name: organisation for organisation in organisations
        }
        self.service_by_name = {
            service.name: service for service in document.services
        }
        self._organisation_by_digest = {
            key_digest(key): organisation for organisation in organisations
            for key in organisation.keys
        }
        self._route_by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            self._route_by_prefix_by_host.setdefault(
                route.host.lower(), {})[route.path_prefix] = route
        self._balancer_by_route: dict[tuple[str, str], _WeightedRoundRobin] = {}

    @property
    def requires_keys(self) -> bool:
        """Whether requests need a key, except on anonymous routes."""
        return self.document.organisations is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix."""
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
        """Returns the organisation that a key belongs to."""
        return self._organisation_by_digest.get(key_digest(key))

    def choose_service(self, route: Route) -> str:
        """Chooses the service for the next request of a route by weight."""
        route_id = (route.host, route.path_prefix)
        balancer = self._balancer_by_route.get(route_id)
        if balancer is None:
            balancer = self._balancer_by_route[route_id] = _WeightedRoundRobin(
                route.parts)
        return balancer.next()
