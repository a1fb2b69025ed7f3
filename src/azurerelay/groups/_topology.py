"""Expected network distances between failure domains."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

# Typical round trips within one data centre, within one region and between regions.
SAME_DOMAIN_MS: Final = 0.5
SAME_REGION_MS: Final = 3.0
OTHER_REGION_MS: Final = 24.0
# A read is sent to another region only if that saves more time than this: traffic
# between regions is expensive, and links between regions fail more often than links
# between failure domains.
OTHER_REGION_PENALTY_MS: Final = 80.0


@dataclass(frozen=True, slots=True)
class Topology:
    """The failure domain of this host, and the region of each failure domain."""

    failure_domain: str
    regions: Mapping[str, str]

    def round_trip_ms(self, failure_domain: str) -> float:
        """Return the expected round-trip time to a failure domain."""
        if failure_domain == self.failure_domain:
            return SAME_DOMAIN_MS
        return (
            SAME_REGION_MS if self.is_same_region(failure_domain) else OTHER_REGION_MS
        )

    def cross_region_penalty_ms(self, failure_domain: str) -> float:
        """Return the time that a read must save to be sent to a failure domain."""
        return 0.0 if self.is_same_region(failure_domain) else OTHER_REGION_PENALTY_MS

    @property
    def region_fraction(self) -> float:
        """The fraction of the known failure domains that are in this host's region."""
        if not self.regions:
            return 1.0
        local = sum(self.is_same_region(domain) for domain in self.regions)
        return max(1, local) / len(self.regions)

    def is_same_region(self, failure_domain: str) -> bool:
        """Return whether a failure domain is in the region of this host."""
        region = self.regions.get(failure_domain)
        return region is not None and region == self.regions.get(self.failure_domain)
