"""Settings of a process, read from a JSON file at startup."""

import ipaddress
import pathlib
from typing import Annotated, Literal

import msgspec

from apricothinge import codec
from apricothinge import errors

__all__ = [
    "Address", "Control", "Limits", "MeshControl", "MeshNode", "Node",
    "Settings", "parse_address", "read"
]

_MAX_PORT = 65535
_Port = Annotated[int, msgspec.Meta(ge=0, le=_MAX_PORT)]
_Name = Annotated[str,
                  msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
_PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
_MINIMUM_SECRET_LENGTH = 16


class Address(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An IP address and a port; host names are not resolved."""

    host: str
    port: _Port

    def __str__(self) -> str:
        return (f"[{self.host}]:{self.port}"
                if ":" in self.host else f"{self.host}:{self.port}")


def parse_address(text: str) -> Address:
    """Parses "IP:port"; an IPv6 address may be in brackets.

    Raises:
        ValueError: The text is not of this form.
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not (port.isascii() and port.isdigit() and int(port) <= _MAX_PORT):
        raise ValueError(f"{text!r}: found port {port!r}, expected 0 to"
                         f" {_MAX_PORT}")
    return Address(host.strip("[]"), int(port))


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits of a node; names ending in _s are in seconds."""

    header_bytes: Annotated[int, msgspec.Meta(ge=1024, le=1 << 20)] = 32768
    header_timeout_s: _PositiveFloat = 10.0
    idle_timeout_s: _PositiveFloat = 75.0
    body_timeout_s: _PositiveFloat = 30.0
    replay_bytes: Annotated[int, msgspec.Meta(ge=0)] = 65536
    buffered_answer_bytes: Annotated[int, msgspec.Meta(ge=0)] = 262144
    largest_buffered_answer_bytes: Annotated[int, msgspec.Meta(ge=0)] = 8388608
    connections: Annotated[int, msgspec.Meta(ge=1)] = 2000
    default_timeout_s: _PositiveFloat = 10.0
    depth: Annotated[int, msgspec.Meta(ge=1, le=64)] = 24
    retries_per_request: Annotated[int, msgspec.Meta(ge=0, le=16)] = 3
    stale_after_s: _PositiveFloat = 3.0
    drain_s: _PositiveFloat = 5.0
    half_close_is_hang_up: bool = True


class Node(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of a node, which runs next to one upstream instance.

    Attributes:
        instance: Name of the node and its upstream instance.
        failure_domain: Where it is.
        caller: Address for requests of callers.
        peer: Address for calls of other nodes.
        local: Loopback address for the upstream.
        admin: Address for metrics and dumps.
        control: Addresses of control instances, nearest first.
        fleet_secret: Secret that all processes share.
        region: Region of the failure domain.
        limits: Limits on callers and calls.
        grace_s: Seconds between the stop signal and the end of the process, or
            None for a process that ends once nothing runs any more.
    """

    instance: _Name
    failure_domain: _Name
    caller: Address
    peer: Address
    local: Address
    admin: Address
    control: Annotated[list[Address], msgspec.Meta(min_length=1)]
    fleet_secret: Annotated[str,
                            msgspec.Meta(min_length=_MINIMUM_SECRET_LENGTH)]
    region: _Name = "default"
    limits: Limits = msgspec.field(default_factory=Limits)
    grace_s: _PositiveFloat | None = None


class Control(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of a control instance, which stores the durable state."""

    instance: _Name
    failure_domain: _Name
    rpc: Address
    admin: Address
    data: str
    fleet_secret: Annotated[str,
                            msgspec.Meta(min_length=_MINIMUM_SECRET_LENGTH)]
    members: dict[_Name, Address] = {}
    join: bool = False
    region: _Name = "default"
    claim_retention_s: _PositiveFloat = 600.0
    floor_part: Annotated[float, msgspec.Meta(ge=0, le=0.25)] = 0.1
    snapshot_entries: Annotated[int, msgspec.Meta(ge=10)] = 2000


def _replace_ports(addresses: list[str], port: int) -> list[str]:
    return [f"{parse_address(address).host}:{port}" for address in addresses]


class MeshNode(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of a mesh node, which runs next to one upstream instance.

    Attributes:
        instance: Name of its machine.
        failure_domain: Where it is.
        service: Service that the upstream on its machine provides.
        upstream: "IP:port" at which the upstream listens.
        caller: "IP:port" for requests of callers and of the upstream.
        link: "IP:port" for links of other nodes.
        check_in: "IP:port" for check-ins of the upstream.
        readiness: "IP:port" for readiness probes.
        admin: "IP:port" for metrics and dumps.
        seeds: "IP:port" of the operator API of some control instances.
        control_link_port: Link port, the same on every control instance.
        grace_s: Seconds between the stop signal and the end of the process.
        region_by_domain: Region of each failure domain. Domains that are not
            listed are in one region without a name.
        cold_rate_factor: A cold upstream may get this many times the requests
            per second that its service states.
        cold_extra_requests: Requests in any second that it may get beyond that.
        evacuation_s: Seconds in which an evacuated failure domain has to be
            empty of new requests.
    """

    instance: str
    failure_domain: str
    service: str
    upstream: str
    caller: str
    link: str
    check_in: str
    readiness: str
    admin: str
    seeds: list[str]
    control_link_port: _Port
    grace_s: _PositiveFloat = 5.0
    limits: Limits = msgspec.field(default_factory=Limits)
    region_by_domain: dict[str, str] = {}
    cold_rate_factor: Annotated[float, msgspec.Meta(ge=1)] = 1.0
    cold_extra_requests: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    evacuation_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0

    def control_links(self) -> list[str]:
        """Returns the link addresses of the seeds."""
        return _replace_ports(self.seeds, self.control_link_port)


class MeshControl(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Settings of a control instance of a mesh.

    Attributes:
        instance: Name of its machine.
        failure_domain: Where it is.
        link: "IP:port" for links of nodes and other control instances.
        operator: "IP:port" of the operator API.
        admin: "IP:port" for metrics and dumps.
        data: Path of the data folder.
        seeds: As in MeshNode.
        control_link_port: As in MeshNode.
        bootstrap: Whether the whole mesh is started for the first time.
        snapshot_entries: Number of log entries after which a snapshot is taken.
        failure_domains: Those that can be evacuated; empty if not known.
        grace_s: As in MeshNode.
        max_lost: Number of control instances whose loss is tolerated.
    """

    instance: str
    failure_domain: str
    link: str
    operator: str
    admin: str
    data: str
    seeds: list[str]
    control_link_port: _Port
    bootstrap: bool = False
    snapshot_entries: Annotated[int, msgspec.Meta(ge=10)] = 200
    failure_domains: list[str] = []
    grace_s: _PositiveFloat = 5.0
    max_lost: Annotated[int, msgspec.Meta(ge=0)] = 1

    def control_links(self) -> list[str]:
        """Returns the link addresses of the seeds."""
        return _replace_ports(self.seeds, self.control_link_port)


class Settings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Content of a settings file: a role and the settings of that role."""

    role: Literal["node", "control", "mesh_node", "mesh_control"]
    node: Node | None = None
    control: Control | None = None
    mesh_node: MeshNode | None = None
    mesh_control: MeshControl | None = None


def _check_addresses(name: str, addresses: dict[str, Address]) -> None:
    for field, address in addresses.items():
        try:
            ipaddress.ip_address(address.host)
        except ValueError:
            raise errors.ApricothingeError(
                errors.Kind.SETTINGS_INVALID,
                f"{name}: Expected an IP address, got {address.host!r}"
                f" - at `$.{field}.host`") from None


def validate(settings: Settings, name: str) -> Settings:
    """Checks constraints that the schema can not express.

    Returns:
        The settings, unchanged.

    Raises:
        errors.ApricothingeError: SETTINGS_INVALID; the settings of the role
            are missing, a host is not an IP address, or the grace period of
            a node is too short for its drain.
    """
    if getattr(settings, settings.role) is None:
        raise errors.ApricothingeError(
            errors.Kind.SETTINGS_INVALID,
            f"{name}: Object missing required field `{settings.role}`"
            " - at `$`")
    if settings.node is not None:
        node = settings.node
        addresses = {
            f"node.{field}": getattr(node, field)
            for field in ("caller", "peer", "local", "admin")
        }
        addresses |= {
            f"node.control[{index}]": address
            for index, address in enumerate(node.control)
        }
        _check_addresses(name, addresses)
        if node.grace_s is not None and node.grace_s <= 2 * node.limits.drain_s:
            raise errors.ApricothingeError(
                errors.Kind.SETTINGS_INVALID,
                f"{name}: Expected more than twice `limits.drain_s`"
                " - at `$.node.grace_s`")
    if settings.control is not None:
        addresses = {
            "control.rpc": settings.control.rpc,
            "control.admin": settings.control.admin
        }
        addresses |= {
            f"control.members.{member}": address
            for member, address in settings.control.members.items()
        }
        _check_addresses(name, addresses)
    return settings


def read(path: pathlib.Path) -> Settings:
    """Reads and validates a settings file.

    Raises:
        errors.ApricothingeError: SETTINGS_INVALID; the detail contains the
            path of the invalid field.
    """
    loaded = codec.read_file(path, Settings, errors.Kind.SETTINGS_INVALID)
    return validate(loaded, str(path))
