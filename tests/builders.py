"""Builders for settings and lists in tests."""

from apricothinge import keys
from apricothinge import lists
from apricothinge import settings

SECRET = "a secret for tests only"
ANY_PORT = settings.Address("127.0.0.1", 0)


def node_settings(instance="n0", failure_domain="a", **limits):
    """Returns settings of a node that listens on free ports."""
    limits.setdefault("drain_s", 0.05)
    return settings.Node(instance=instance,
                         failure_domain=failure_domain,
                         caller=ANY_PORT,
                         peer=ANY_PORT,
                         local=ANY_PORT,
                         admin=ANY_PORT,
                         control=[settings.Address("127.0.0.1", 1)],
                         fleet_secret=SECRET,
                         limits=settings.Limits(**limits))


def route(service="stock",
          path_prefix="/stock",
          methods=("GET", "POST"),
          **fields):
    """Returns a route of a plan."""
    return lists.Route(service=service,
                       path_prefix=path_prefix,
                       methods=methods,
                       **fields)


def plan(*routes, rate_per_s=1e5, burst=1e5, **fields):
    """Returns a plan, by default with one route and no effective limit."""
    return lists.Plan(rate_per_s=rate_per_s,
                      burst=burst,
                      routes=list(routes) or [route()],
                      **fields)


def document(version=1, organisations=None, plans=None, open_routes=()):
    """Returns both lists; by default organisation "o" has the key "k1"."""
    organisations = organisations or {"o": ("p", ["k1"])}
    organisation_rows = {
        name:
            lists.Organisation(
                plan=plan_name,
                key_hashes=[keys.hash_key(key) for key in organisation_keys])
        for name, (plan_name, organisation_keys) in organisations.items()
    }
    return lists.Document(organisations=lists.Organisations(
        version=version, organisations=organisation_rows),
                          plans=lists.Plans(version=version,
                                            plans=plans or {"p": plan()},
                                            open_routes=list(open_routes)))
