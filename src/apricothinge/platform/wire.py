"""Header names, paths and JSON bodies of the platform.

Bodies are validated and decoded into types of `apricothinge.mesh`.
"""

import hashlib
import math
import re
from typing import Annotated, Any, Final, Literal, TypeVar

import msgspec

from apricothinge import errors
from apricothinge.mesh import documents
from apricothinge.mesh import lifetimes
from apricothinge.mesh import names

__all__ = [
    "BASE_VERSION_HEADER", "CHECK_IN_PATH_PREFIX", "Change",
    "DEREGISTER_PATH_PREFIX", "EVACUATION_END_PATH_PREFIX",
    "EVACUATION_START_PATH_PREFIX", "HEADER_NAMES", "READINESS_PATH",
    "READ_PATH", "REPLACE_PATH", "SETTINGS_PATH_VARIABLE", "decode_change",
    "decode_check_in", "decode_deregistration"
]

SETTINGS_PATH_VARIABLE: Final = "APRICOTHINGE_NODE_FILE"
READINESS_PATH: Final = "/v1/readiness"
REPLACE_PATH: Final = "/v1/Config.Replace"
READ_PATH: Final = "/v1/Config.Get"
CHECK_IN_PATH_PREFIX: Final = "/v1/Instances.Heartbeat/"
DEREGISTER_PATH_PREFIX: Final = "/v1/Instances.Deregister/"
EVACUATION_START_PATH_PREFIX: Final = "/v1/Evacuations.Start/"
EVACUATION_END_PATH_PREFIX: Final = "/v1/Evacuations.Finish/"
BASE_VERSION_HEADER: Final = b"base-version"

HEADER_NAMES: Final = names.HeaderNames(request_id=b"attempt-id",
                                        deadline_ms=b"deadline-ms",
                                        key=b"credential",
                                        organisation=b"tenant-id",
                                        calling_service=b"caller-service",
                                        expected_upstream=b"intended-instance",
                                        not_run=b"not-executed",
                                        rate_limit=b"server-limit",
                                        leaving=b"server-leaving")

# Upper bound that the platform sets on the timeout of a route.
_MAX_TIMEOUT_S: Final = 600.0
_VERSION_PATTERN: Final = re.compile(r"r?([0-9]{1,18})")
_UPSTREAM_ID_PATTERN: Final = re.compile(r"[!-$&-.0-~]{1,128}")
# Far above what upstreams name, and within what all messages can carry.
_MAX_SLOTS: Final = 1_000_000
_MAX_INTEGER: Final = 1 << 53
_MAX_COLD_S: Final = 86_400.0
# Beyond these, a number means the same as the bound.
_MAX_PRIORITY: Final = 1_000_000
_MAX_RATE: Final = 1e9

_Report = TypeVar("_Report", bound=msgspec.Struct)


class _CheckIn(msgspec.Struct):
    """Body of a check-in, with which an upstream reports its state.

    Attributes:
        service: Service that the upstream provides.
        address: "IP:port" at which it listens.
        zone: Its failure domain.
        version: Version of its software.
        slots: Number of requests that it runs concurrently.
        state: `ready` or `draining`.
        seq: Sequence number, increased with each check-in since its start.
        born: Start time in milliseconds by its own clock.
        coldLeftS: Seconds until its warm-up ends.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: Literal["ready", "draining"]
    seq: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
    coldLeftS: Annotated[  # pylint: disable=invalid-name
        float,
        msgspec.Meta(ge=-_MAX_COLD_S, le=_MAX_COLD_S)]


class _Deregistration(msgspec.Struct):
    """Body of a deregistration.

    Attributes:
        born: Start time of the upstream as in its check-ins, which tells it
            from an instance started later under the same name.
    """

    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)] | None = None


class _Table(msgspec.Struct):
    """A table in column form.

    Attributes:
        columns: Names of the fields.
        rows: Values of each row, in the order of `columns`.
    """

    columns: list[str]
    rows: list[list[Any]]

    def to_dicts(self) -> list[dict[str, Any]]:
        """Returns each row as a dictionary without its null fields."""
        dicts = []
        for row in self.rows:
            if len(row) != len(self.columns):
                raise _invalid_field("rows", f"{len(row)} values",
                                     f"{len(self.columns)}")
            dicts.append({
                name: value
                for name, value in zip(self.columns, row)
                if value is not None
            })
        return dicts


class _WeightedService(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    """A row of the routes; fields not listed here are as in `documents.Route`.

    Attributes:
        hostname: Host that requests must name.
        route_type: Value of `documents.RouteKind`, which says whether requests
            may be retried.
        slo_latency_s: Latency objective in seconds; the timeout if null.
        max_attempts: Maximum number of upstreams to which a request is sent.
        allow_anonymous: Whether requests without a key are allowed.
        weighted_split: Services among which requests are split by weight;
            takes the place of `service`.
    """

    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_s: float = _MAX_TIMEOUT_S
    slo_latency_s: float | None = None
    priority: int = 0
    max_attempts: int = 1
    allow_anonymous: bool = False
    service: str | None = None
    weighted_split: list[_WeightedService] | None = None
    allowed_regions: list[str] | None = None


class _Service(msgspec.Struct, rename="camel"):
    """A service and the limits of its upstreams.

    Attributes:
        max_conns: Maximum number of connections to each upstream.
        cold_start_s: Seconds that an upstream is cold after its start.
        cold_per_s: Requests per second that it takes meanwhile; 0 for no limit.
    """

    name: str
    max_conns: int = 0
    cold_start_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    cold_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class _Tenant(msgspec.Struct, rename="camel"):
    """An organisation; `rate_per_s` and `burst` of 0 mean no limit."""

    name: str
    api_keys: list[str] = []
    priority: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0
    allowed_regions: list[str] | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: Annotated[int, msgspec.Meta(ge=0)] = 32768
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0)] = 64 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0


class _DesiredState(msgspec.Struct):
    version: str
    routes: _Table
    services: _Table
    tenants: _Table | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


class Change:
    """An operator's request to replace the desired state.

    Attributes:
        change_id: SHA-256 digest of the state and the base version; a resent
            change has the same one.
        base_version: Version that the change is based on.
        document: The new desired state.
    """

    __slots__ = ("change_id", "base_version", "document")

    def __init__(self, change_id: bytes, base_version: int,
                 document: documents.Document) -> None:
        self.change_id = change_id
        self.base_version = base_version
        self.document = document


def _invalid_field(field: str, found: object,
                   expected: object) -> errors.ApricothingeError:
    return errors.ApricothingeError(
        errors.Kind.CONFIGURATION_INVALID,
        f"{field}: found {found}, expected {expected}")


def _parse_version(text: str, field: str) -> int:
    match = _VERSION_PATTERN.fullmatch(text)
    if match is None:
        raise _invalid_field(field, repr(text),
                             "a number, with or without a leading r")
    return int(match[1])


def _to_route(index: int, row: _Route,
              service_names: set[str]) -> documents.Route:
    field = f"routes[{index}] {row.name}"
    try:
        kind = documents.RouteKind(row.route_type)
    except ValueError:
        raise _invalid_field(
            f"{field} routeType", repr(row.route_type),
            [kind.value for kind in documents.RouteKind]) from None
    if not 0 < row.timeout_s <= _MAX_TIMEOUT_S:
        raise _invalid_field(f"{field} timeoutS", row.timeout_s,
                             f"more than 0 and at most {_MAX_TIMEOUT_S:g}")
    if row.max_attempts < 1:
        raise _invalid_field(f"{field} maxAttempts", row.max_attempts,
                             "at least 1")
    parts = [
        documents.Part(part.service, part.weight)
        for part in row.weighted_split or []
    ]
    if row.weighted_split is None and row.service is not None:
        parts = [documents.Part(row.service, 1.0)]
    named_services = [part.service for part in parts]
    if row.service is not None:
        named_services.append(row.service)
    for service in named_services:
        if service not in service_names:
            raise _invalid_field(f"{field} service", repr(service),
                                 "the name of a service in `services`")
    for part in parts:
        if part.weight < 0:
            raise _invalid_field(f"{field} weight", part.weight, "at least 0")
    weights = sum(part.weight for part in parts)
    if not 0 < weights < math.inf:
        raise _invalid_field(f"{field} weights", f"a sum of {weights:g}",
                             "more than 0, and finite")
    objective_s = row.slo_latency_s
    if objective_s is None or objective_s <= 0:
        objective_s = row.timeout_s
    return documents.Route(row.name, row.hostname, row.path_prefix, kind,
                           row.timeout_s, min(objective_s, _MAX_TIMEOUT_S),
                           _bounded_priority(row.priority), row.max_attempts,
                           row.allow_anonymous, parts, row.allowed_regions or
                           None)


def _bounded_priority(priority: int) -> int:
    return max(0, min(priority, _MAX_PRIORITY))


def _bounded_rate(rate: float) -> float:
    return max(0.0, min(rate, _MAX_RATE))


def _check_readable(document: documents.Document) -> None:
    """Checks that nodes can decode a document, whatever its numbers are."""
    try:
        documents.unpack(documents.pack(document))
    except (msgspec.MsgspecError, OverflowError, ValueError) as error:
        raise errors.ApricothingeError(errors.Kind.CONFIGURATION_INVALID,
                                       str(error)) from None


def _check_unique(document: documents.Document) -> None:
    """Checks that no two routes share host and prefix, no two tenants a key."""
    locations: set[tuple[str, str]] = set()
    for row in document.routes:
        location = (row.host.lower(), row.path_prefix)
        if location in locations:
            raise _invalid_field(f"routes {row.name} pathPrefix",
                                 repr(location),
                                 "only one route for each host and prefix")
        locations.add(location)
    owner_by_key: dict[str, str] = {}
    for organisation in document.organisations or []:
        for key in organisation.keys:
            owner = owner_by_key.setdefault(key, organisation.name)
            if owner != organisation.name:
                raise _invalid_field(f"tenants {organisation.name} apiKeys",
                                     f"a key of {owner}",
                                     "keys that no other tenant has")


def decode_change(base_version_header: bytes | None, content: bytes) -> Change:
    """Decodes and validates a change of the desired state.

    Args:
        base_version_header: Value of the Base-Version header, or None if absent.
        content: The desired state as JSON.

    Raises:
        errors.ApricothingeError: CONFIGURATION_INVALID; the detail names the
            field, the value found and what was expected.
    """
    try:
        decoded = msgspec.json.decode(content)
        state = msgspec.convert(decoded, _DesiredState, strict=True)
        routes = msgspec.convert(state.routes.to_dicts(), list[_Route])
        services = msgspec.convert(state.services.to_dicts(), list[_Service])
        tenants = (None if state.tenants is None else msgspec.convert(
            state.tenants.to_dicts(), list[_Tenant]))
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.ApricothingeError(errors.Kind.CONFIGURATION_INVALID,
                                       str(error)) from None
    service_names = {row.name for row in services}
    document = documents.Document(
        _parse_version(state.version, "version"), [
            _to_route(index, row, service_names)
            for index, row in enumerate(routes)
        ], [
            documents.Service(row.name, row.max_conns, row.cold_start_s,
                              row.cold_per_s) for row in services
        ], None if tenants is None else [
            documents.Organisation(
                row.name, row.api_keys, _bounded_priority(row.priority),
                _bounded_rate(row.rate_per_s), _bounded_rate(
                    row.burst), row.allowed_regions or None) for row in tenants
        ],
        documents.ClientLimits(state.limits.max_header_bytes,
                               state.limits.max_body_bytes,
                               state.limits.header_timeout_s,
                               state.limits.idle_timeout_s))
    _check_unique(document)
    _check_readable(document)
    base_version = _parse_version(
        (base_version_header or b"0").decode("latin-1").strip(), "Base-Version")
    digest = hashlib.sha256(msgspec.json.encode(decoded, order="deterministic"))
    digest.update(str(base_version).encode())
    return Change(digest.digest(), base_version, document)


def decode_check_in(upstream_id: str, content: bytes) -> lifetimes.CheckIn:
    """Decodes the body of a check-in.

    Raises:
        errors.CallError: MALFORMED_REQUEST; the body is not valid. An upstream
            sends all fields, so one that is missing is another writer's fault.
    """
    if not _UPSTREAM_ID_PATTERN.fullmatch(upstream_id):
        raise errors.CallError(errors.Kind.MALFORMED_REQUEST,
                               f"found identifier {upstream_id[:200]!r}")
    report = _decode_report(content, _CheckIn)
    return lifetimes.CheckIn(upstream_id, report.born, report.seq,
                             report.service, report.address, report.slots,
                             report.state == "draining",
                             max(0.0, report.coldLeftS))


def decode_deregistration(content: bytes) -> int | None:
    """Decodes the start time in a deregistration.

    Returns:
        The value of `born`, or None if it is absent.

    Raises:
        errors.CallError: MALFORMED_REQUEST; there is a body that is not valid.
    """
    if not content:
        return None
    return _decode_report(content, _Deregistration).born


def _decode_report(content: bytes, schema: type[_Report]) -> _Report:
    try:
        return msgspec.json.decode(content, type=schema)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise errors.CallError(errors.Kind.MALFORMED_REQUEST,
                               str(error)) from None
