"""The operators' tool: the two lists, the state of the fleet, the members.

Exit codes: 0 done, 1 refused or failed, 2 wrong arguments or lists, 3 version
conflict, 4 not in force everywhere in time, 5 control can not be reached.
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
from apricothinge import explain as explaining
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

_ATTEMPTS = 8
_RETRY_S = 0.5
_RPC_TIMEOUT_S = 5.0
_VOTE_WAIT_S = 60.0
_DUMP_BYTES = 64 << 20

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
key_app = typer.Typer(no_args_is_help=True, help="Keys of organisations.")
members_app = typer.Typer(no_args_is_help=True,
                          help="Members of the control group.")
app.add_typer(key_app, name="key")
app.add_typer(members_app, name="members")

_CONTROL = typer.Option(...,
                        "--control",
                        envvar="APRICOTHINGE_CONTROL",
                        help="IP:PORT of control instances, by comma.")
_SECRET = typer.Option(...,
                       "--secret",
                       envvar="APRICOTHINGE_SECRET",
                       help="The fleet secret.")
_JSON = typer.Option(False, "--json", help="Print JSON.")
_FOLDER = typer.Argument(...,
                         help="Folder with organisations.json and plans.json.")


def _fail(error: errors.ApricothingeError, as_json: bool) -> None:
    """Prints an error and ends the program with its exit code."""
    if as_json:
        typer.echo(
            msgspec.json.encode({
                "error": error.code,
                "detail": error.detail
            }).decode())
    else:
        typer.echo(str(error), err=True)
    sys.exit(_EXIT_BY_KIND.get(error.kind, EXIT_FAILED))


def _addresses(text: str) -> list[settings.Address]:
    found = []
    for part in text.split(","):
        host, _, port = part.strip().rpartition(":")
        if not host or not port.isdigit():
            raise errors.ApricothingeError(
                errors.Kind.SETTINGS_INVALID,
                f"Expected IP:PORT, got {part!r} - at `--control`")
        found.append(settings.Address(host.strip("[]"), int(port)))
    return found


async def _ask_one(address: settings.Address, secret: str,
                   request: messages.Request, timeout_s: float) -> Any:
    sealer = wire.Codec(secret)
    opened = wire.channel(address)
    try:
        sealed = await wire.stub(opened).Ask(sealer.seal(request),
                                             timeout=timeout_s)
        return sealer.open(sealed, messages.Reply)
    except grpc.aio.AioRpcError as error:
        raise errors.ApricothingeError(
            errors.Kind.UNREACHABLE,
            f"{address}: {error.details() or error.code()}") from None
    finally:
        await opened.close()


async def _ask(control: str, secret: str, request: messages.Request,
               wait_s: float) -> Any:
    """Asks control; a change is resent until its outcome is known.

    Raises:
        errors.ApricothingeError: It was refused, or nobody answered.
    """
    last = errors.ApricothingeError(errors.Kind.UNREACHABLE)
    addresses = _addresses(control)
    for attempt in range(_ATTEMPTS):
        address = addresses[attempt % len(addresses)]
        try:
            reply = await _ask_one(address, secret, request,
                                   _RPC_TIMEOUT_S + wait_s)
        except errors.ApricothingeError as error:
            last = error
        else:
            if not isinstance(reply, messages.Failure):
                return reply
            last = errors.ApricothingeError(errors.Kind(reply.kind),
                                            reply.detail)
            if last.kind not in (errors.Kind.UNREACHABLE,
                                 errors.Kind.NOT_LEADER):
                raise last
        await asyncio.sleep(_RETRY_S)
    raise last


def _run(control: str,
         secret: str,
         request: messages.Request,
         as_json: bool,
         wait_s: float = 0.0) -> Any:
    try:
        return asyncio.run(_ask(control, secret, request, wait_s))
    except errors.ApricothingeError as error:
        return _fail(error, as_json)


def _read(folder: pathlib.Path, as_json: bool) -> lists.Document:
    try:
        return lists.read(folder)
    except errors.ApricothingeError as error:
        _fail(error, as_json)
        raise


def _print(value: object, as_json: bool, text: str) -> None:
    if as_json:
        typer.echo(codec.encode_named(value).decode())
        return
    typer.echo(text)


@app.command()
def explain(request_id: str = typer.Argument(
    ..., help="Identity of the request; nested calls begin with it."),
            files: list[pathlib.Path] = typer.Argument(
                ..., help="Logs of nodes and control instances."),
            as_json: bool = _JSON) -> None:
    """Tells what happened to a request, out of logs.

    Exit code 1 where no line names the request.
    """
    try:
        lines = {
            str(path): path.read_text(errors="replace").splitlines()
            for path in files
        }
    except OSError as error:
        _fail(
            errors.ApricothingeError(errors.Kind.SETTINGS_INVALID, str(error)),
            as_json)
    found = explaining.story(request_id, lines)
    if as_json:
        typer.echo(msgspec.json.encode(found).decode())
    for line in found if not as_json else ():
        fields = " ".join(
            f"{name}={value}" for name, value in line.fields.items())
        typer.echo(f"{line.at:.4f} {line.process} {line.kind} {fields}")
    if not found:
        typer.echo(f"no line names {request_id}", err=True)
        sys.exit(EXIT_FAILED)


@app.command()
def validate(folder: pathlib.Path = _FOLDER, as_json: bool = _JSON) -> None:
    """Checks both lists and names the first wrong field."""
    document = _read(folder, as_json)
    count = len(document.organisations.organisations)
    _print({
        "valid": True,
        "organisations": count
    }, as_json, f"valid: {count} organisations,"
           f" {len(document.plans.plans)} plans")


@app.command()
def apply(folder: pathlib.Path = _FOLDER,
          control: str = _CONTROL,
          secret: str = _SECRET,
          wait_s: float = typer.Option(
              0.0, "--wait", help="Seconds to wait until it is in force."),
          as_json: bool = _JSON) -> None:
    """Puts both lists in force, if they were made from those in force.

    A changed list carries the version after the one in force. Sending the
    same change again is safe: it gets its first outcome.
    """
    document = _read(folder, as_json)
    reply = _run(control, secret, messages.Apply(document, wait_s), as_json,
                 wait_s)
    _print(reply, as_json, f"accepted as revision {reply.outcome.revision}")
    if wait_s and reply.waiting:
        if not as_json:
            typer.echo(f"not in force at: {', '.join(reply.waiting)}", err=True)
        sys.exit(EXIT_NOT_IN_FORCE)


def _differences(old: dict[str, Any], new: dict[str, Any],
                 what: str) -> list[str]:
    lines = []
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            lines.append(f"+ {what} {name}")
        elif name not in new:
            lines.append(f"- {what} {name}")
        elif old[name] != new[name]:
            lines.append(f"~ {what} {name}")
    return lines


@app.command()
def diff(folder: pathlib.Path = _FOLDER,
         control: str = _CONTROL,
         secret: str = _SECRET,
         as_json: bool = _JSON) -> None:
    """Compares the lists in a folder with those in force."""
    document = _read(folder, as_json)
    found = _run(control, secret, messages.GetLists(), as_json).document
    lines = _differences(found.organisations.organisations,
                         document.organisations.organisations, "organisation")
    lines += _differences(found.plans.plans, document.plans.plans, "plan")
    if found.plans.open_routes != document.plans.open_routes:
        lines.append("~ open_routes")
    for name in ("organisations", "plans"):
        before = getattr(found, name).version
        after = getattr(document, name).version
        if before != after:
            lines.append(f"~ version of {name}: {before} -> {after}")
    _print(lines, as_json, "\n".join(lines) or "no difference")


@app.command()
def status(control: str = _CONTROL,
           secret: str = _SECRET,
           as_json: bool = _JSON) -> None:
    """Shows the group, and each node with its revision and age."""
    found = _run(control, secret, messages.AskStatus(), as_json)
    if as_json:
        typer.echo(codec.encode_named(found).decode())
        return
    typer.echo(f"revision {found.revision}, term {found.term}, quorum"
               f" confirmed {found.quorum_age_s:.2f} s ago")
    for member in found.members:
        role = ("leader"
                if member.leader else "voter" if member.voter else "learner")
        typer.echo(f"member {member.instance:20} {role:8} {member.address}")
    for node in found.nodes:
        state = ("draining" if node.draining else "up" if node.up else "down")
        typer.echo(f"node   {node.instance:20} {state:8}"
                   f" {node.service or '-':16} {node.failure_domain:12}"
                   f" revision {node.revision}"
                   f" heard {node.heard_ago_s:.1f} s ago")


async def _dump(address: settings.Address) -> bytes:
    pool = client.ConnectionPool(_DUMP_BYTES)
    try:
        answer = await pool.exchange(address, "GET", "/dump", [],
                                     web_messages.Body(0, None))
        return answer.data
    except (client.RequestNotSent, client.ExchangeFailed) as error:
        raise errors.ApricothingeError(errors.Kind.UNREACHABLE,
                                       str(error)) from None
    finally:
        pool.close()


@app.command()
def dump(address: str = typer.Argument(
    ..., help="IP:PORT of a process's admin port.")) -> None:
    """Prints the whole state of one process as JSON."""
    try:
        data = asyncio.run(_dump(_addresses(address)[0]))
    except errors.ApricothingeError as error:
        _fail(error, False)
        raise
    typer.echo(msgspec.json.format(data, indent=2).decode())


@key_app.command("new")
def key_new(as_json: bool = _JSON) -> None:
    """Makes a key: prints it once, and the hash for organisations.json."""
    key = keys.new_key()
    key_hash = keys.hash_key(key)
    _print({
        "key": key,
        "hash": key_hash
    }, as_json, f"key:  {key}\nhash: {key_hash}")


@key_app.command("hash")
def key_hash_of(as_json: bool = _JSON) -> None:
    """Reads a key from standard input and prints its hash."""
    key_hash = keys.hash_key(sys.stdin.readline().strip())
    _print({"hash": key_hash}, as_json, key_hash)


@members_app.command("list")
def members_list(control: str = _CONTROL,
                 secret: str = _SECRET,
                 as_json: bool = _JSON) -> None:
    """Lists the members of the control group."""
    found = _run(control, secret, messages.AskStatus(), as_json).members
    _print(
        found, as_json, "\n".join(f"{m.instance} {m.address} "
                                  f"{'voter' if m.voter else 'learner'}"
                                  f"{' leader' if m.leader else ''}"
                                  for m in found))


def _wait_for_vote(control: str, secret: str, instance: str,
                   as_json: bool) -> None:
    until = time.monotonic() + _VOTE_WAIT_S
    while time.monotonic() < until:
        found = _run(control, secret, messages.AskStatus(), as_json).members
        if any(m.instance == instance and m.voter for m in found):
            return
        time.sleep(_RETRY_S)
    _fail(
        errors.ApricothingeError(errors.Kind.MEMBERSHIP_REFUSED,
                                 f"{instance} did not catch up in time"),
        as_json)


def _change(control: str, secret: str, action: str, instance: str, address: str,
            failure_domain: str, as_json: bool) -> None:
    place = _addresses(address)[0] if address else None
    _run(control, secret,
         messages.ChangeMembers(action, instance, place, failure_domain),
         as_json)


@members_app.command("add")
def members_add(instance: str = typer.Argument(...),
                address: str = typer.Argument(..., help="IP:PORT of rpc."),
                failure_domain: str = typer.Argument(""),
                control: str = _CONTROL,
                secret: str = _SECRET,
                as_json: bool = _JSON) -> None:
    """Adds a member, started with "join": true; it votes once caught up."""
    _change(control, secret, "add", instance, address, failure_domain, as_json)
    _wait_for_vote(control, secret, instance, as_json)
    _print({"added": instance}, as_json, f"{instance} votes")


@members_app.command("remove")
def members_remove(instance: str = typer.Argument(...),
                   control: str = _CONTROL,
                   secret: str = _SECRET,
                   as_json: bool = _JSON) -> None:
    """Removes a member."""
    _change(control, secret, "remove", instance, "", "", as_json)
    _print({"removed": instance}, as_json, f"{instance} removed")


@members_app.command("replace")
def members_replace(old: str = typer.Argument(...),
                    new: str = typer.Argument(...),
                    address: str = typer.Argument(..., help="IP:PORT of new."),
                    failure_domain: str = typer.Argument(""),
                    control: str = _CONTROL,
                    secret: str = _SECRET,
                    as_json: bool = _JSON) -> None:
    """Replaces a lost member: the new one votes before the old one goes."""
    _change(control, secret, "add", new, address, failure_domain, as_json)
    _wait_for_vote(control, secret, new, as_json)
    _change(control, secret, "remove", old, "", "", as_json)
    _print({
        "replaced": old,
        "by": new
    }, as_json, f"{new} votes in place of {old}")


def main() -> None:
    """Entry point of the script `apricothinge`."""
    app()
