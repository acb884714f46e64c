"""Check-ins and deregistrations that a node receives, and whose they are."""

from apricothinge import errors
from apricothinge import log
from apricothinge import settings
from apricothinge.mesh import departures
from apricothinge.mesh import lifetimes
from apricothinge.mesh import upstream

__all__ = ["CheckInReceiver"]


class CheckInReceiver:
    """Passes on what the upstream of this machine says of itself.

    Other programs may write to the same port. The settings tell which service
    runs on this machine and where it listens; what says otherwise is refused.

    Attributes:
        service: Service that runs on this machine; empty if the settings do not
            tell.
        address: Address at which its upstream listens.
    """

    __slots__ = ("service", "address", "_upstream", "_departure_log")

    def __init__(self, service: str, address: settings.Address,
                 local_upstream: upstream.LocalUpstream,
                 departure_log: departures.DepartureLog) -> None:
        """Creates a receiver.

        Args:
            service: Service that runs on this machine, or empty.
            address: Address at which its upstream listens.
            local_upstream: The upstream.
            departure_log: Records that a lifetime departs.
        """
        self.service = service
        self.address = address
        self._upstream = local_upstream
        self._departure_log = departure_log

    async def check_in(self, check_in: lifetimes.CheckIn) -> None:
        """Applies a check-in; that no error is raised acknowledges it.

        Raises:
            errors.CallError: MALFORMED_REQUEST if it is of another upstream;
                NOT_IN_FORCE; UNREACHABLE if control does not record in time
                that the upstream departs.
        """
        says_draining = check_in.draining
        if ((self.service and check_in.service != self.service) or
                check_in.address != str(self.address)):
            log.event("check_in:foreign",
                      upstream=check_in.upstream_id,
                      service=check_in.service,
                      address=check_in.address)
            raise errors.CallError(
                errors.Kind.MALFORMED_REQUEST,
                f"found service {check_in.service!r} at {check_in.address!r},"
                f" expected {self.service!r} at '{self.address}'")
        if not self._upstream.check_in(check_in):
            raise errors.CallError(errors.Kind.NOT_IN_FORCE)
        if says_draining:
            await self._departure_log.wait_until_recorded(check_in.lifetime)

    async def deregister(self, upstream_id: str, born: int | None) -> None:
        """Ends a lifetime; that no error is raised acknowledges it.

        Raises:
            errors.CallError: NOT_IN_FORCE if it is not known which lifetime has
                ended; UNREACHABLE as in `check_in`.
        """
        lifetime = self._upstream.deregister(upstream_id, born)
        if lifetime is None:
            raise errors.CallError(errors.Kind.NOT_IN_FORCE)
        await self._departure_log.wait_until_recorded(lifetime)
