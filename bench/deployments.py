"""Both deployments of the users, scaled to one machine."""

from apricothinge import lists
from bench import fleet

WEIGHT_BY_ORGANISATION = {
    "large-1": 0.28,
    "large-2": 0.22,
    "small-1": 0.09,
    "small-2": 0.09,
    "small-3": 0.08,
    "small-4": 0.08,
    "small-5": 0.08,
    "small-6": 0.08,
}


class Service:
    """One service of a scaled deployment."""

    def __init__(self, name, instance_count, slots, work_s, nested=()):
        self.name = name
        self.instance_count = instance_count
        self.slots = slots
        self.work_s = work_s
        self.nested = nested


class Deployment:
    """Services from the entry down, and the class of each route."""

    def __init__(self, services, path_prefix, failure_domains, caller_delay_s):
        self.services = services
        self.path_prefix = path_prefix
        self.failure_domains = failure_domains
        self.caller_delay_s = caller_delay_s

    def build_routes(self, timeout_s):
        """Three routes to the entry service, one of each importance."""
        entry_service = self.services[0].name
        return [
            lists.Route(service=entry_service,
                        path_prefix=f"{self.path_prefix}/critical",
                        methods=("POST",),
                        importance="critical",
                        timeout_s=timeout_s),
            lists.Route(service=entry_service,
                        path_prefix=f"{self.path_prefix}/normal",
                        timeout_s=timeout_s),
            lists.Route(service=entry_service,
                        path_prefix=f"{self.path_prefix}/background",
                        importance="background",
                        timeout_s=timeout_s),
        ]

    def build_document(self, timeout_s):
        """The lists: every organisation on one plan that never runs out."""
        plan = fleet.build_plan(self.build_routes(timeout_s))
        return fleet.build_document(
            1, {name: "p" for name in WEIGHT_BY_ORGANISATION}, {"p": plan})


# A fifth of the slots of the users' sizes, half of the targets.
DEPLOYMENT_BY_NAME = {
    "manivela-sul":
        Deployment([
            Service("booking", 2, 22, 0.04, ("stock",)),
            Service("stock", 2, 22, 0.04, ("routing",)),
            Service("routing", 2, 6, 0.12)
        ], "/booking", ("sul-a", "sul-b"), 0.001),
    "chiang-khong":
        Deployment([
            Service("portal", 2, 17, 0.04, ("intake",)),
            Service("intake", 2, 17, 0.04, ("registry",)),
            Service("registry", 2, 4, 0.08)
        ], "/portal", ("rai-a", "rai-b"), 0.008),
}
