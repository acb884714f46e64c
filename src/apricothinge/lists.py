"""Configuration that operators apply: organisations and plans.

The two lists are stored in organisations.json and plans.json.
"""

import enum
import hashlib
import hmac
import pathlib
from typing import Annotated, Literal

import msgspec

from apricothinge import codec
from apricothinge import errors
from apricothinge import keys

__all__ = [
    "CompiledLists", "Document", "Importance", "OpenRoute", "Organisation",
    "Organisations", "Plan", "Plans", "Route", "change_id",
    "is_idempotent_method", "open_route_name", "read", "validate"
]

_Name = Annotated[str,
                  msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
_Hash = Annotated[str, msgspec.Meta(pattern=r"^sha256:[0-9a-f]{64}$")]
_Prefix = Annotated[str, msgspec.Meta(pattern=r"^/[^?#\s]*$")]
_Method = Annotated[str, msgspec.Meta(pattern=r"^[A-Z]{1,20}$")]
_Version = Annotated[int, msgspec.Meta(ge=0)]
_Rate = Annotated[float, msgspec.Meta(gt=0, le=1e7)]
_IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE"))


class Importance(enum.IntEnum):
    """Importance of a request under overload; lower values are shed last."""

    CRITICAL = 0
    NORMAL = 1
    BACKGROUND = 2


class Route(msgspec.Struct,
            forbid_unknown_fields=True,
            frozen=True,
            omit_defaults=True):
    """Requests to one service that a plan allows."""

    service: _Name
    path_prefix: _Prefix
    methods: Annotated[tuple[_Method, ...],
                       msgspec.Meta(min_length=1)] = ("GET",)
    importance: Literal["critical", "normal", "background"] = "normal"
    idempotent: bool | None = None
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=3600)] | None = None

    def is_idempotent(self, method: str) -> bool:
        """Whether a request can be executed more than once safely."""
        if self.idempotent is not None:
            return self.idempotent
        return is_idempotent_method(method)

    def matches(self, method: str, path: str) -> bool:
        """Whether a request matches the methods and the path prefix.

        HEAD is allowed where GET is.
        """
        allowed = method in self.methods or (method == "HEAD" and
                                             "GET" in self.methods)
        return allowed and _has_path_prefix(path, self.path_prefix)


class OpenRoute(Route,
                forbid_unknown_fields=True,
                frozen=True,
                omit_defaults=True,
                kw_only=True):
    """Requests that need no key and share one rate limit."""

    rate_per_s: _Rate
    burst: _Rate


class Plan(msgspec.Struct,
           forbid_unknown_fields=True,
           frozen=True,
           omit_defaults=True):
    """Routes and fleet-wide limits for each organisation of a plan."""

    rate_per_s: _Rate
    burst: _Rate
    routes: list[Route]
    weight: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 1.0
    when_isolated: Literal["refuse", "serve"] = "refuse"
    idempotency_header: Annotated[
        str, msgspec.Meta(pattern=r"^[A-Za-z0-9-]+$")] = "Idempotency-Key"


class Organisation(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An organisation with its plan and the hashes of its keys."""

    plan: _Name
    key_hashes: list[_Hash]


class Organisations(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Content of organisations.json."""

    version: _Version
    organisations: dict[_Name, Organisation]


class Plans(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Content of plans.json."""

    version: _Version
    plans: dict[_Name, Plan]
    open_routes: list[OpenRoute] = []


class Document(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Both lists, which are validated and changed together."""

    organisations: Organisations
    plans: Plans


EMPTY = Document(organisations=Organisations(version=0, organisations={}),
                 plans=Plans(version=0, plans={}))


def is_idempotent_method(method: str) -> bool:
    """Whether HTTP defines a method as idempotent."""
    return method in _IDEMPOTENT_METHODS


def _has_path_prefix(path: str, prefix: str) -> bool:
    if not path.startswith(prefix):
        return False
    return (prefix.endswith("/") or len(path) == len(prefix) or
            path[len(prefix)] in "/?")


def _invalid_field(path: str, found: str,
                   expected: str) -> errors.ApricothingeError:
    return errors.ApricothingeError(
        errors.Kind.CONFIGURATION_INVALID,
        f"Expected {expected}, got {found!r} - at `{path}`")


def validate(document: Document) -> Document:
    """Checks references between the lists, and uniqueness within them.

    Returns:
        The document, unchanged.

    Raises:
        errors.ApricothingeError: CONFIGURATION_INVALID; the detail contains
            the path of the invalid field.
    """
    organisation_by_hash: dict[str, str] = {}
    for name, organisation in document.organisations.organisations.items():
        path = f"$.organisations.{name}"
        if organisation.plan not in document.plans.plans:
            raise _invalid_field(f"{path}.plan", organisation.plan,
                                 "the name of a plan in plans.json")
        for index, key_hash in enumerate(organisation.key_hashes):
            if key_hash in organisation_by_hash:
                raise _invalid_field(
                    f"{path}.key_hashes[{index}]", key_hash,
                    f"a hash that {organisation_by_hash[key_hash]} does not have"
                )
            organisation_by_hash[key_hash] = name
    for name, plan in document.plans.plans.items():
        seen: set[tuple[str, str]] = set()
        for index, route in enumerate(plan.routes):
            for method in route.methods:
                if (method, route.path_prefix) in seen:
                    raise _invalid_field(
                        f"$.plans.{name}.routes[{index}]",
                        f"{method} {route.path_prefix}",
                        "a method and prefix that no other route has")
                seen.add((method, route.path_prefix))
    return document


def read(folder: pathlib.Path) -> Document:
    """Reads and validates organisations.json and plans.json in a folder.

    Raises:
        errors.ApricothingeError: CONFIGURATION_INVALID; the detail contains
            the path of the invalid field.
    """
    kind = errors.Kind.CONFIGURATION_INVALID
    return validate(
        Document(organisations=codec.read_file(folder / "organisations.json",
                                               Organisations, kind),
                 plans=codec.read_file(folder / "plans.json", Plans, kind)))


def open_route_name(route: OpenRoute) -> str:
    """Returns the name under which the rate of an open route is limited."""
    return f"open:{route.service}{route.path_prefix}"


def change_id(document: Document) -> str:
    """Identifies a change by the hash of its content, versions included."""
    return hashlib.sha256(msgspec.json.encode(document,
                                              order="sorted")).hexdigest()


class CompiledLists:
    """Lists with lookup tables for keys and routes.

    Attributes:
        revision: Revision of the configuration; increases with each change.
        document: Lists that the tables were built from.
        services: Names of all services that have a route.
    """

    __slots__ = ("revision", "document", "services", "_name_by_key_hash",
                 "_routes_by_plan", "_open_routes")

    def __init__(self, revision: int, document: Document) -> None:
        self.revision = revision
        self.document = document
        self._name_by_key_hash = {
            key_hash: name for name, organisation in
            document.organisations.organisations.items()
            for key_hash in organisation.key_hashes
        }
        self._routes_by_plan: dict[str, list[Route]] = {
            name: sorted(plan.routes, key=lambda r: -len(r.path_prefix))
            for name, plan in document.plans.plans.items()
        }
        self._open_routes = sorted(document.plans.open_routes,
                                   key=lambda r: -len(r.path_prefix))
        self.services = {
            route.service
            for plan in document.plans.plans.values()
            for route in plan.routes
        } | {route.service for route in self._open_routes}

    def organisation_by_key(self, key: str) -> str | None:
        """Returns the organisation that a key belongs to, or None."""
        key_hash = keys.hash_key(key)
        name = self._name_by_key_hash.get(key_hash)
        if name is None:
            return None
        hashes = self.document.organisations.organisations[name].key_hashes
        # The lookup above takes a time that depends on the hash, so the key is
        # accepted only by a comparison in constant time.
        if not any(
                hmac.compare_digest(key_hash, stored_hash)
                for stored_hash in hashes):
            return None
        return name

    def plan_of(self, organisation_id: str) -> Plan | None:
        """Returns the plan of an organisation, or None if it does not exist."""
        organisation = self.document.organisations.organisations.get(
            organisation_id)
        return None if organisation is None else self.document.plans.plans[
            organisation.plan]

    def find_route(self, organisation_id: str, method: str,
                   path: str) -> Route | None:
        """Returns the matching route of the plan with the longest prefix."""
        organisation = self.document.organisations.organisations.get(
            organisation_id)
        if organisation is None:
            return None
        for route in self._routes_by_plan[organisation.plan]:
            if route.matches(method, path):
                return route
        return None

    def find_open_route(self, method: str, path: str) -> OpenRoute | None:
        """Returns the matching open route with the longest prefix."""
        for route in self._open_routes:
            if route.matches(method, path):
                return route
        return None

    def has_route_for_path(self, path: str) -> bool:
        """Whether any plan or open route matches a path, by any method."""
        return any(
            _has_path_prefix(path, route.path_prefix)
            for routes in self._routes_by_plan.values()
            for route in routes) or any(
                _has_path_prefix(path, route.path_prefix)
                for route in self._open_routes)
