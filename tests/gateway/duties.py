"""Fakes shared by the tests of the leader duties."""

from datetime import timedelta

from sassafrasdale.coordination.exceptions import LeaseNotHeld
from sassafrasdale.coordination.leases import Permit

SECOND = timedelta(seconds=1)


class Lease:
    """A fake lease with a fencing number; 0 if another gateway holds it."""

    def __init__(self, number):
        self.number = number

    def permit(self, checks_fencing):
        if not self.number:
            raise LeaseNotHeld("not held")
        return Permit(self.number, timedelta.max)
