"""Builders of test data for meshes."""

import json

from apricothinge import settings
from apricothinge.control import raft_messages
from apricothinge.link import frames
from apricothinge.mesh import documents
from apricothinge.mesh import upstream


def route(name="r",
          host="h",
          path_prefix="/a/",
          service="s",
          parts=None,
          **more):
    """A route to one service, or to the parts given as pairs."""
    given = {
        "kind": documents.RouteKind.IDEMPOTENT,
        "timeout_s": 5.0,
        "latency_objective_s": 1.0,
        "priority": 1,
        "attempts": 2,
        "anonymous": False
    }
    given.update(more)
    return documents.Route(
        name=name,
        host=host,
        path_prefix=path_prefix,
        parts=[documents.Part(*part) for part in parts or [(service, 1.0)]],
        **given)


def organisation(name="o", keys=("k1",), rate_per_s=10.0, burst=10.0, **more):
    """A customer with one key."""
    return documents.Organisation(name=name,
                                  keys=list(keys),
                                  rate_per_s=rate_per_s,
                                  burst=burst,
                                  **more)


def document(version=1, routes=None, organisations=None):
    """A desired state; without organisations no keys are needed."""
    routes = routes or [route()]
    names = {part.service for row in routes for part in row.parts}
    return documents.Document(
        version=version,
        routes=routes,
        services=[documents.Service(name, 100) for name in sorted(names)],
        organisations=organisations)


def check_in(upstream_id="u1", born=1000, sequence=1, **more):
    """What an upstream of service "s" says of itself."""
    given = {"service": "s", "slots": 4, "draining": False, "cold_s": 0.0}
    given.update(more)
    return upstream.CheckIn(upstream_id, born, sequence, given["service"],
                            given["slots"], given["draining"], given["cold_s"])


def call(stream=1, method="GET", target="/a/1", data=b"", **more):
    """A call to service "s" as it goes over a link."""
    given = {
        "headers": [(b"host", b"h"), (b"request", b"q1")],
        "request_id": "q1",
        "service": "s",
        "rank": 1,
        "idempotent": True,
        "left_s": 2.0
    }
    given.update(more)
    return frames.Call(stream=stream,
                       method=method,
                       target=target,
                       objective_s=1.0,
                       route="r",
                       fingerprint="f",
                       data=data,
                       length=len(data),
                       complete=True,
                       **given)


def member(host="10.0.0.1", voter=True):
    """A member of control."""
    return raft_messages.Member(settings.Address(host, 7000), "a", voter)


def members(voters="abc", learners=""):
    """Members of control by name, each on a machine of its own."""
    return {
        name: member(f"10.0.0.{place + 1}", name in voters)
        for place, name in enumerate(voters + learners)
    }


def state_text(version="r1", routes=None, **more):
    """A desired state as the platform's operator sends it."""
    columns = [
        "name", "hostname", "pathPrefix", "routeType", "timeoutS",
        "sloLatencyS", "priority", "weightedSplit", "maxAttempts",
        "allowAnonymous", "service"
    ]
    rows = routes if routes is not None else [[
        "r", "h", "/a/", "idempotent", 6, 1.5, 2, None, 2, False, "s"
    ]]
    given = {
        "version": version,
        "routes": {
            "columns": columns,
            "rows": rows
        },
        "services": {
            "columns": ["name", "maxConns"],
            "rows": [["s", 10], ["t", 10]]
        },
        "tenants": {
            "columns": ["name", "apiKeys", "priority", "ratePerS", "burst"],
            "rows": [["o", ["k1"], 1, 5, 5]]
        }
    }
    given.update(more)
    return json.dumps(given).encode()
