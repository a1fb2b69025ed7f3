"""How far failure domains are from each other."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

# Used until a connection has been timed; typical for one data centre, one region and
# two regions.
SAME_DOMAIN_MS: Final = 0.5
SAME_REGION_MS: Final = 3.0
OTHER_REGION_MS: Final = 24.0
# A read leaves its region only if that saves more waiting than this: bytes between
# regions are dear, and regions lose each other more often than domains.
OTHER_REGION_DETOUR_MS: Final = 80.0


@dataclass(frozen=True, slots=True)
class Topology:
    """This host's failure domain, and the region of every domain."""

    failure_domain: str
    regions: Mapping[str, str]

    def round_trip_ms(self, failure_domain: str) -> float:
        """Return the expected round trip to a failure domain."""
        if failure_domain == self.failure_domain:
            return SAME_DOMAIN_MS
        return SAME_REGION_MS if self._is_near(failure_domain) else OTHER_REGION_MS

    def detour_ms(self, failure_domain: str) -> float:
        """Return what a read must gain to go to a failure domain."""
        return 0.0 if self._is_near(failure_domain) else OTHER_REGION_DETOUR_MS

    def _is_near(self, failure_domain: str) -> bool:
        region = self.regions.get(failure_domain)
        return region is not None and region == self.regions.get(self.failure_domain)
