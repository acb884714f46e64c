"""Builders of test data for meshes."""

import json

from apricothinge import settings
from apricothinge.control import raft_messages
from apricothinge.link import frames
from apricothinge.mesh import documents
from apricothinge.mesh import lifetimes


def route(name="r",
          host="h",
          path_prefix="/a/",
          service="s",
          parts=None,
          **overrides):
    """Builds a route to one service, or to weighted parts given as pairs."""
    fields = {
        "kind": documents.RouteKind.IDEMPOTENT,
        "timeout_s": 5.0,
        "latency_objective_s": 1.0,
        "priority": 1,
        "attempts": 2,
        "anonymous": False
    }
    fields.update(overrides)
    return documents.Route(
        name=name,
        host=host,
        path_prefix=path_prefix,
        parts=[documents.Part(*part) for part in parts or [(service, 1.0)]],
        **fields)


def organisation(name="o",
                 keys=("k1",),
                 rate_per_s=10.0,
                 burst=10.0,
                 **overrides):
    """Builds an organisation, by default with one key."""
    return documents.Organisation(name=name,
                                  keys=list(keys),
                                  rate_per_s=rate_per_s,
                                  burst=burst,
                                  **overrides)


def document(version=1,
             routes=None,
             organisations=None,
             warm_up_s=0.0,
             cold_rate_per_s=0.0,
             **limits):
    """Builds a desired state, which needs no keys without organisations.

    Args:
        version: Its version.
        routes: Its routes, by default one.
        organisations: Its organisations, or None.
        warm_up_s: For how long upstreams are cold after a start.
        cold_rate_per_s: Requests per second that they take meanwhile.
        **limits: Limits on callers that differ from the defaults.
    """
    routes = routes or [route()]
    names = {part.service for row in routes for part in row.parts}
    return documents.Document(version=version,
                              routes=routes,
                              services=[
                                  documents.Service(name, 100, warm_up_s,
                                                    cold_rate_per_s)
                                  for name in sorted(names)
                              ],
                              organisations=organisations,
                              limits=documents.ClientLimits(**limits))


def check_in(upstream_id="u1", born=1000, sequence=1, **overrides):
    """Builds a check-in message of an upstream, by default of service "s"."""
    fields = {
        "service": "s",
        "address": "127.0.0.1:9",
        "slots": 4,
        "draining": False,
        "cold_s": 0.0
    }
    fields.update(overrides)
    return lifetimes.CheckIn(upstream_id, born, sequence, fields["service"],
                             fields["address"], fields["slots"],
                             fields["draining"], fields["cold_s"])


def check_in_content(address="10.0.0.1:80", without=(), **overrides):
    """Builds the body of a check-in in the JSON form of the platform.

    Args:
        address: Where the upstream listens.
        without: Names of fields to leave out.
        **overrides: Fields that differ from the defaults.
    """
    fields = {
        "service": "s",
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldLeftS": 1.5,
        "seq": 3,
        "born": 1234
    }
    fields.update(overrides)
    return json.dumps({
        name: value for name, value in fields.items() if name not in without
    }).encode()


def call(stream=1, method="GET", target="/a/1", data=b"", **overrides):
    """Builds the message of a call to service "s" over a link."""
    fields = {
        "headers": [(b"host", b"h"), (b"request", b"q1")],
        "request_id": "q1",
        "service": "s",
        "rank": 1,
        "idempotent": True,
        "remaining_s": 2.0
    }
    fields.update(overrides)
    return frames.Call(stream=stream,
                       method=method,
                       target=target,
                       objective_s=1.0,
                       route="r",
                       fingerprint="f",
                       data=data,
                       length=len(data),
                       complete=True,
                       **fields)


def member(host="10.0.0.1", voter=True):
    """Builds a member of the control group."""
    return raft_messages.Member(settings.Address(host, 7000), "a", voter)


def members(voters="abc", learners=""):
    """Builds members of the control group by name, each with its own host."""
    return {
        name: member(f"10.0.0.{index + 1}", name in voters)
        for index, name in enumerate(voters + learners)
    }


def state_text(version="r1", routes=None, **overrides):
    """Builds a desired state in the JSON form of the platform's operator."""
    columns = [
        "name", "hostname", "pathPrefix", "routeType", "timeoutS",
        "sloLatencyS", "priority", "weightedSplit", "maxAttempts",
        "allowAnonymous", "service"
    ]
    rows = routes if routes is not None else [[
        "r", "h", "/a/", "idempotent", 6, 1.5, 2, None, 2, False, "s"
    ]]
    fields = {
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
    fields.update(overrides)
    return json.dumps(fields).encode()
