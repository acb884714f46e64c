"""Models of the users' two deployments, scaled down to one machine."""

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
    """A service of a scaled deployment.

    Attributes:
        name: Name of the service.
        instance_count: Number of upstream instances.
        slots: Calls that one instance works on at a time.
        work_s: Time in seconds that one call takes in a slot.
        nested: Services that each call calls in turn.
    """

    def __init__(self, name, instance_count, slots, work_s, nested=()):
        self.name = name
        self.instance_count = instance_count
        self.slots = slots
        self.work_s = work_s
        self.nested = nested


class Deployment:
    """A chain of services, and the routes to its entry service.

    Attributes:
        services: The services, the entry service first.
        path_prefix: Common prefix of the paths of all routes.
        failure_domains: Failure domains, assigned to instances in turn.
        caller_delay_s: Delay in seconds before each attempt of a caller.
    """

    def __init__(self, services, path_prefix, failure_domains, caller_delay_s):
        self.services = services
        self.path_prefix = path_prefix
        self.failure_domains = failure_domains
        self.caller_delay_s = caller_delay_s

    def build_routes(self, timeout_s):
        """Builds three routes to the entry service, one of each importance."""
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
        """Builds lists with one plan for all; its rate is too high to limit."""
        plan = fleet.build_plan(self.build_routes(timeout_s))
        return fleet.build_document(
            1, {name: "p" for name in WEIGHT_BY_ORGANISATION}, {"p": plan})


# A fifth of the slots and half of the instances of the users' deployments.
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
