"""A removed core machine and one lost disk end the control group for good."""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import kit3  # pylint: disable=wrong-import-position

CATCH_UP_S = 4.0
RECOVERY_S = 15.0
# Between the removal of one machine and the loss of another one's disk.
GAP_S = float(os.environ.get("GAP_S", "1.0"))
DOWN_S = 1.0
STATE = kit3.desired_state([kit3.route("stock", "/stock/", "alpha")],
                           ["alpha"], [kit3.tenant()])


async def read(mesh):
    """Reads the desired state at any machine; returns its version, or None."""
    for address in mesh.operators:
        status, content = await kit3.call_operator_api(address, "GET",
                                                       "/v1/Config.Get")
        if status == 200:
            return json.loads(content)["version"]
    return None


async def find_leader(mesh):
    """Returns the machine that answers reads itself, None without one."""
    for program in mesh.controls:
        try:
            async with asyncio.timeout(1.0):
                status, _, _ = await kit3.call(program.fields["operator"],
                                               "GET", "/v1/Config.Get")
        except (OSError, EOFError, TimeoutError):
            continue
        if status == 200:
            return program
    return None


async def wait_for(mesh, version, span_s):
    """Reads until a version is returned; returns the seconds, or None."""
    started_at = time.monotonic()
    while time.monotonic() < started_at + span_s:
        if await read(mesh) == version:
            return time.monotonic() - started_at
        await asyncio.sleep(0.3)
    return None


async def members(mesh):
    """Returns who votes and who follows, for the record only."""
    for program in mesh.controls:
        if not program.running:
            continue
        try:
            async with asyncio.timeout(1.0):
                _, _, content = await kit3.call(program.fields["admin"], "GET",
                                                "/dump")
        except (OSError, EOFError, TimeoutError):
            continue
        dump = json.loads(content)
        if dump["role"] == "leader":
            return {
                name: "votes" if member["voter"] else "follows"
                for name, member in dump["members"].items()
            }
    return "no leader"


async def case(mesh, record, trouble):
    """Adds a machine, restarts one, removes one, loses the disk of one."""
    record(f"case: three core machines; faultTolerance 1; catchUpS"
           f" {CATCH_UP_S}; recoveryS {RECOVERY_S}")
    a, b, c, successor = mesh.controls
    successor.fields["bootstrap"] = False
    for program in (a, b, c):
        program.start()
    await mesh.apply(STATE)
    await asyncio.sleep(CATCH_UP_S)

    successor.start()
    record("platform: control-3 is added, empty, as a successor")
    await asyncio.sleep(CATCH_UP_S + 2.0)
    record(f"admin: {await members(mesh)}")

    a.fields["bootstrap"] = False
    a.signal(signal.SIGTERM)
    while a.running:
        await asyncio.sleep(0.05)
    record("platform: control-0 has ended by itself")
    a.start()
    await asyncio.sleep(CATCH_UP_S + 4.0)
    record(f"admin: {await members(mesh)}")
    await mesh.apply(STATE)
    version = f"r{mesh.version}"
    leader = await find_leader(mesh)
    if leader is None:
        raise kit3.Unable("no machine answers reads")
    record(f"operator: {leader.name} answers reads")

    removed, wiped = b if leader is c else c, leader
    if wiped is a:
        raise kit3.Unable("the machine that was restarted leads")
    if trouble:
        removed.kill()
        record(f"trouble: {removed.name} is removed for good, without SIGTERM;"
               f" its successor has run for more than {CATCH_UP_S} s")
        await asyncio.sleep(GAP_S)
        wiped.kill()
        shutil.rmtree(wiped.fields["data"])
        record(f"trouble: {wiped.name} loses power and its disk")
        await asyncio.sleep(DOWN_S)
        wiped.fields["bootstrap"] = False
        wiped.start()
    took_s = await wait_for(mesh, version, RECOVERY_S + 30.0)
    record(f"admin: {await members(mesh)}")
    if took_s is not None:
        record(f"operator: reads {version} again after {took_s:.1f} s")
        return []
    record(f"operator: has no answer to reads for {RECOVERY_S + 30.0} s")
    return [
        f"CONFIG: {version}, which was acknowledged, can't be read back; all"
        f" machines but the removed one have been back for"
        f" {RECOVERY_S + 29.0} s"
    ]


kit3.main(case, controls=4)
