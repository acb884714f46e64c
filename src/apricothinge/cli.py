"""Command line tool for operators: configuration, fleet state and members.

Exit codes: 0 success, 1 refused or failed, 2 invalid arguments or
configuration, 3 version conflict, 4 not in force on every node in time,
5 control group unreachable or without a leader.
"""

import asyncio
import pathlib
import sys
import time
from typing import Any

import grpc
import msgspec
import typer

from apricothinge import codec
from apricothinge import errors
from apricothinge import explain as explain_module
from apricothinge import keys
from apricothinge import lists
from apricothinge import settings
from apricothinge.control import rpc_messages as messages
from apricothinge.control import wire
from apricothinge.web import client
from apricothinge.web import messages as web_messages

__all__ = ["app", "main"]

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_NOT_IN_FORCE = 4
EXIT_UNREACHABLE = 5

_MAX_ATTEMPTS = 8
_RETRY_INTERVAL_S = 0.5
_RPC_TIMEOUT_S = 5.0
_VOTER_TIMEOUT_S = 60.0
_MAX_DUMP_BYTES = 64 << 20

_EXIT_BY_KIND = {
    errors.Kind.SETTINGS_INVALID: EXIT_INVALID,
    errors.Kind.CONFIGURATION_INVALID: EXIT_INVALID,
    errors.Kind.VERSION_CONFLICT: EXIT_CONFLICT,
    errors.Kind.UNREACHABLE: EXIT_UNREACHABLE,
    errors.Kind.NOT_LEADER: EXIT_UNREACHABLE,
}

app = typer.Typer(add_completion=False,
                  pretty_exceptions_enable=False,
                  no_args_is_help=True,
                  help=__doc__,
                  context_settings={"help_option_names": ["-h", "--help"]})
key_app = typer.Typer(no_args_is_help=True,
                      help="Manage API keys of organisations.")
members_app = typer.Typer(no_args_is_help=True,
                          help="Manage the members of the control group.")
app.add_typer(key_app, name="key")
app.add_typer(members_app, name="members")

_CONTROL_OPTION = typer.Option(
    ...,
    "--control",
    envvar="APRICOTHINGE_CONTROL",
    help="Comma-separated IP:PORT of control instances.")
_SECRET_OPTION = typer.Option(
    ...,
    "--secret",
    envvar="APRICOTHINGE_SECRET",
    help="Secret shared by all processes of the fleet.")
_JSON_OPTION = typer.Option(False, "--json", help="Print JSON.")
_FOLDER_ARGUMENT = typer.Argument(
    ..., help="Folder that contains organisations.json and"
    " plans.json.")


def _exit_with_error(error: errors.ApricothingeError, as_json: bool) -> None:
    """Prints an error and exits with the code of its kind."""
    if as_json:
        typer.echo(
            msgspec.json.encode({
                "error": error.code,
                "detail": error.detail
            }).decode())
    else:
        typer.echo(str(error), err=True)
    sys.exit(_EXIT_BY_KIND.get(error.kind, EXIT_FAILED))


def _parse_addresses(text: str) -> list[settings.Address]:
    addresses = []
    for part in text.split(","):
        host, _, port = part.strip().rpartition(":")
        if not host or not port.isdigit():
            raise errors.ApricothingeError(
                errors.Kind.SETTINGS_INVALID,
                f"Expected IP:PORT, got {part!r} - at `--control`")
        addresses.append(settings.Address(host.strip("[]"), int(port)))
    return addresses


async def _send_to(address: settings.Address, secret: str,
                   request: messages.Request, timeout_s: float) -> Any:
    message_codec = wire.Codec(secret)
    channel = wire.channel(address)
    try:
        sealed = await wire.stub(channel).Ask(message_codec.seal(request),
                                              timeout=timeout_s)
        return message_codec.open(sealed, messages.Reply)
    except grpc.aio.AioRpcError as error:
        raise errors.ApricothingeError(
            errors.Kind.UNREACHABLE,
            f"{address}: {error.details() or error.code()}") from None
    finally:
        await channel.close()


async def _send(control: str, secret: str, request: messages.Request,
                wait_s: float) -> Any:
    """Sends a request to the control instances in turn until one answers.

    Attempts continue on another instance if one is unreachable or not the
    leader. Resending a change is safe: it gets its first outcome.

    Raises:
        errors.ApricothingeError: The request was refused, or no attempt got
            an answer from the leader.
    """
    last_error = errors.ApricothingeError(errors.Kind.UNREACHABLE)
    addresses = _parse_addresses(control)
    for attempt in range(_MAX_ATTEMPTS):
        address = addresses[attempt % len(addresses)]
        try:
            reply = await _send_to(address, secret, request,
                                   _RPC_TIMEOUT_S + wait_s)
        except errors.ApricothingeError as error:
            last_error = error
        else:
            if not isinstance(reply, messages.Failure):
                return reply
            last_error = errors.ApricothingeError(errors.Kind(reply.kind),
                                                  reply.detail)
            if last_error.kind not in (errors.Kind.UNREACHABLE,
                                       errors.Kind.NOT_LEADER):
                raise last_error
        await asyncio.sleep(_RETRY_INTERVAL_S)
    raise last_error


def _send_or_exit(control: str,
                  secret: str,
                  request: messages.Request,
                  as_json: bool,
                  wait_s: float = 0.0) -> Any:
    try:
        return asyncio.run(_send(control, secret, request, wait_s))
    except errors.ApricothingeError as error:
        return _exit_with_error(error, as_json)


def _read_or_exit(folder: pathlib.Path, as_json: bool) -> lists.Document:
    try:
        return lists.read(folder)
    except errors.ApricothingeError as error:
        _exit_with_error(error, as_json)
        raise


def _print(value: object, as_json: bool, text: str) -> None:
    if as_json:
        typer.echo(codec.encode_with_field_names(value).decode())
        return
    typer.echo(text)


@app.command()
def explain(request_id: str = typer.Argument(
    ..., help="Request ID; IDs of nested calls start with it."),
            files: list[pathlib.Path] = typer.Argument(
                ..., help="Log files of nodes and control instances."),
            as_json: bool = _JSON_OPTION) -> None:
    """Prints the events of a request from log files.

    Exits with code 1 if no log line mentions the request.
    """
    try:
        lines = {
            str(path): path.read_text(errors="replace").splitlines()
            for path in files
        }
    except OSError as error:
        _exit_with_error(
            errors.ApricothingeError(errors.Kind.SETTINGS_INVALID, str(error)),
            as_json)
    timeline = explain_module.timeline(request_id, lines)
    if as_json:
        typer.echo(msgspec.json.encode(timeline).decode())
    for line in timeline if not as_json else ():
        fields = " ".join(
            f"{name}={value}" for name, value in line.fields.items())
        typer.echo(f"{line.at:.4f} {line.process} {line.kind} {fields}")
    if not timeline:
        typer.echo(f"no log line mentions request {request_id}", err=True)
        sys.exit(EXIT_FAILED)


@app.command()
def validate(folder: pathlib.Path = _FOLDER_ARGUMENT,
             as_json: bool = _JSON_OPTION) -> None:
    """Validates both files and reports the first invalid field."""
    document = _read_or_exit(folder, as_json)
    count = len(document.organisations.organisations)
    _print({
        "valid": True,
        "organisations": count
    }, as_json, f"valid: {count} organisations,"
           f" {len(document.plans.plans)} plans")


@app.command()
def apply(folder: pathlib.Path = _FOLDER_ARGUMENT,
          control: str = _CONTROL_OPTION,
          secret: str = _SECRET_OPTION,
          wait_s: float = typer.Option(
              0.0, "--wait", help="Seconds to wait until every node uses it."),
          as_json: bool = _JSON_OPTION) -> None:
    """Applies both files, if they are based on the version in force.

    The version of a changed file must be one above the version in force.
    Applying the same change again is safe: it gets its first outcome.
    """
    document = _read_or_exit(folder, as_json)
    reply = _send_or_exit(control, secret, messages.Apply(document, wait_s),
                          as_json, wait_s)
    _print(reply, as_json, f"accepted as revision {reply.outcome.revision}")
    if wait_s and reply.waiting:
        if not as_json:
            typer.echo(f"not in force on: {', '.join(reply.waiting)}", err=True)
        sys.exit(EXIT_NOT_IN_FORCE)


def _diff_rows(old: dict[str, Any], new: dict[str, Any],
               row_type: str) -> list[str]:
    lines = []
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            lines.append(f"+ {row_type} {name}")
        elif name not in new:
            lines.append(f"- {row_type} {name}")
        elif old[name] != new[name]:
            lines.append(f"~ {row_type} {name}")
    return lines


@app.command()
def diff(folder: pathlib.Path = _FOLDER_ARGUMENT,
         control: str = _CONTROL_OPTION,
         secret: str = _SECRET_OPTION,
         as_json: bool = _JSON_OPTION) -> None:
    """Compares the files in a folder with the configuration in force."""
    document = _read_or_exit(folder, as_json)
    in_force = _send_or_exit(control, secret, messages.GetLists(),
                             as_json).document
    lines = _diff_rows(in_force.organisations.organisations,
                       document.organisations.organisations, "organisation")
    lines += _diff_rows(in_force.plans.plans, document.plans.plans, "plan")
    if in_force.plans.open_routes != document.plans.open_routes:
        lines.append("~ open_routes")
    for name in ("organisations", "plans"):
        before = getattr(in_force, name).version
        after = getattr(document, name).version
        if before != after:
            lines.append(f"~ version of {name}: {before} -> {after}")
    _print(lines, as_json, "\n".join(lines) or "no difference")


@app.command()
def status(control: str = _CONTROL_OPTION,
           secret: str = _SECRET_OPTION,
           as_json: bool = _JSON_OPTION) -> None:
    """Shows the control group and the state of each node."""
    group_status = _send_or_exit(control, secret, messages.AskStatus(), as_json)
    if as_json:
        typer.echo(codec.encode_with_field_names(group_status).decode())
        return
    typer.echo(
        f"revision {group_status.revision}, term {group_status.term}, quorum"
        f" confirmed {group_status.quorum_age_s:.2f} s ago")
    for member in group_status.members:
        role = ("leader"
                if member.leader else "voter" if member.voter else "learner")
        typer.echo(f"member {member.instance:20} {role:8} {member.address}")
    for node in group_status.nodes:
        state = ("draining" if node.draining else "up" if node.up else "down")
        typer.echo(f"node   {node.instance:20} {state:8}"
                   f" {node.service or '-':16} {node.failure_domain:12}"
                   f" revision {node.revision}"
                   f" heard {node.heard_ago_s:.1f} s ago")


async def _fetch_dump(address: settings.Address) -> bytes:
    pool = client.ConnectionPool(_MAX_DUMP_BYTES)
    try:
        response = await pool.exchange(address, "GET", "/dump", [],
                                       web_messages.Body(0, None))
        return response.data
    except (client.RequestNotSent, client.ExchangeFailed) as error:
        raise errors.ApricothingeError(errors.Kind.UNREACHABLE,
                                       str(error)) from None
    finally:
        pool.close()


@app.command()
def dump(address: str = typer.Argument(
    ..., help="IP:PORT of the admin port of a process.")) -> None:
    """Prints the internal state of a process as JSON."""
    try:
        data = asyncio.run(_fetch_dump(_parse_addresses(address)[0]))
    except errors.ApricothingeError as error:
        _exit_with_error(error, False)
        raise
    typer.echo(msgspec.json.format(data, indent=2).decode())


@key_app.command("new")
def key_new(as_json: bool = _JSON_OPTION) -> None:
    """Generates a key and prints it with its hash for organisations.json."""
    key = keys.new_key()
    key_hash = keys.hash_key(key)
    _print({
        "key": key,
        "hash": key_hash
    }, as_json, f"key:  {key}\nhash: {key_hash}")


@key_app.command("hash")
def key_hash_of(as_json: bool = _JSON_OPTION) -> None:
    """Prints the hash of a key read from standard input."""
    key_hash = keys.hash_key(sys.stdin.readline().strip())
    _print({"hash": key_hash}, as_json, key_hash)


@members_app.command("list")
def members_list(control: str = _CONTROL_OPTION,
                 secret: str = _SECRET_OPTION,
                 as_json: bool = _JSON_OPTION) -> None:
    """Lists the members of the control group and their roles."""
    members = _send_or_exit(control, secret, messages.AskStatus(),
                            as_json).members
    _print(
        members, as_json, "\n".join(f"{m.instance} {m.address} "
                                    f"{'voter' if m.voter else 'learner'}"
                                    f"{' leader' if m.leader else ''}"
                                    for m in members))


def _wait_until_voter(control: str, secret: str, instance: str,
                      as_json: bool) -> None:
    deadline = time.monotonic() + _VOTER_TIMEOUT_S
    while time.monotonic() < deadline:
        members = _send_or_exit(control, secret, messages.AskStatus(),
                                as_json).members
        if any(m.instance == instance and m.voter for m in members):
            return
        time.sleep(_RETRY_INTERVAL_S)
    _exit_with_error(
        errors.ApricothingeError(errors.Kind.MEMBERSHIP_REFUSED,
                                 f"{instance} did not become a voter in time"),
        as_json)


def _change_members(control: str, secret: str, action: str, instance: str,
                    address: str, failure_domain: str, as_json: bool) -> None:
    parsed_address = _parse_addresses(address)[0] if address else None
    _send_or_exit(
        control, secret,
        messages.ChangeMembers(action, instance, parsed_address,
                               failure_domain), as_json)


@members_app.command("add")
def members_add(instance: str = typer.Argument(...),
                address: str = typer.Argument(...,
                                              help="IP:PORT of its RPC port."),
                failure_domain: str = typer.Argument(""),
                control: str = _CONTROL_OPTION,
                secret: str = _SECRET_OPTION,
                as_json: bool = _JSON_OPTION) -> None:
    """Adds a member started with "join": true, and waits until it votes."""
    _change_members(control, secret, "add", instance, address, failure_domain,
                    as_json)
    _wait_until_voter(control, secret, instance, as_json)
    _print({"added": instance}, as_json, f"{instance} is a voter")


@members_app.command("remove")
def members_remove(instance: str = typer.Argument(...),
                   control: str = _CONTROL_OPTION,
                   secret: str = _SECRET_OPTION,
                   as_json: bool = _JSON_OPTION) -> None:
    """Removes a member from the control group."""
    _change_members(control, secret, "remove", instance, "", "", as_json)
    _print({"removed": instance}, as_json, f"{instance} removed")


@members_app.command("replace")
def members_replace(old: str = typer.Argument(...),
                    new: str = typer.Argument(...),
                    address: str = typer.Argument(
                        ...,
                        help="IP:PORT of the RPC port"
                        " of the new member."),
                    failure_domain: str = typer.Argument(""),
                    control: str = _CONTROL_OPTION,
                    secret: str = _SECRET_OPTION,
                    as_json: bool = _JSON_OPTION) -> None:
    """Replaces a member; the old one is removed once the new one votes."""
    _change_members(control, secret, "add", new, address, failure_domain,
                    as_json)
    _wait_until_voter(control, secret, new, as_json)
    _change_members(control, secret, "remove", old, "", "", as_json)
    _print({"replaced": old, "by": new}, as_json, f"{old} replaced by {new}")


def main() -> None:
    """Entry point of the `apricothinge` script."""
    app()
