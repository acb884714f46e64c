"""A removed core machine and one lost disk end the control group for good."""

import asyncio
import json
import os
import pathlib
import shutil
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import kit3  # pylint: disable=wrong-import-position

CATCH_UP_S = 4.0
RECOVERY_S = 15.0
# How long the successor runs before the machine that it replaces is removed.
SUCCESSOR_RUNS_S = 66.0
WAIT_S = RECOVERY_S + 10.0
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


async def find_voters(mesh):
    """Returns the machines that vote, by the admin port of the leader.

    It only serves to choose the machine that is removed; nothing is judged by
    it.
    """
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
        if dump["role"] != "leader":
            continue
        by_link = {found.fields["link"]: found for found in mesh.controls}
        return [
            by_link[name.split("/")[0]]
            for name, member in dump["members"].items() if member["voter"]
        ]
    return []


async def case(mesh, record, trouble):
    """Adds a machine, removes another one, and loses the disk of a third."""
    record(f"case: three core machines; faultTolerance 1; catchUpS"
           f" {CATCH_UP_S}; recoveryS {RECOVERY_S}")
    successor = mesh.controls[3]
    successor.fields["bootstrap"] = False
    for program in mesh.controls[:3]:
        program.start()
    await mesh.apply(STATE)
    await asyncio.sleep(CATCH_UP_S)
    successor.start()
    record("platform: control-3 is added, empty, as a successor")
    await asyncio.sleep(SUCCESSOR_RUNS_S)
    await mesh.apply(STATE)
    version = f"r{mesh.version}"
    leader = await find_leader(mesh)
    voters = await find_voters(mesh)
    if leader is None or not voters:
        raise kit3.Unable("control has no leader")
    record(f"operator: {leader.name} answers reads; admin:"
           f" {[program.name for program in voters]} vote")
    removed = [
        program for program in voters if program not in (leader, successor)
    ][0]
    if trouble:
        removed.kill()
        record(f"trouble: {removed.name} is removed for good, without SIGTERM;"
               f" its successor has run for {SUCCESSOR_RUNS_S} s")
        await asyncio.sleep(GAP_S)
        leader.kill()
        shutil.rmtree(leader.fields["data"])
        record(f"trouble: {leader.name} loses power and its disk")
        await asyncio.sleep(DOWN_S)
        leader.fields["bootstrap"] = False
        leader.start()
    took_s = await wait_for(mesh, version, WAIT_S)
    if took_s is not None:
        record(f"operator: reads {version} after {took_s:.1f} s")
        return []
    record(f"operator: has no answer to reads for {WAIT_S} s")
    return [
        f"CONFIG: {version}, which was acknowledged, can't be read back; all"
        f" machines but the removed one have been back for {WAIT_S} s"
    ]


kit3.main(case, controls=4)
