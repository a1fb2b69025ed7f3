"""A token bucket of an entry host that decides without its control host."""


class LocalAllowance:
    """Tokens for the operations of one customer at one entry host.

    It starts with the fraction of an operation that is given to it: if the buckets of
    many hosts started full, each could admit one operation at once, and together more
    than a small customer's quota.
    """

    def __init__(
        self, now_ms: float, rate_per_s: float, tokens: float, capacity: float = 1.0
    ) -> None:
        self._updated_ms = now_ms
        self._rate_per_s = rate_per_s
        self._tokens = tokens
        self._capacity = capacity

    def tokens(self, now_ms: float) -> float:
        """Return the tokens at a time that is not before the last one."""
        added = self._rate_per_s * (now_ms - self._updated_ms) / 1_000.0
        self._updated_ms = now_ms
        self._tokens = min(self._capacity, self._tokens + added)
        return self._tokens

    def take(self, now_ms: float) -> bool:
        """Take the token of one operation; False if there is none."""
        if self.tokens(now_ms) < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def add(self, tokens: float) -> None:
        """Add tokens up to the capacity; a negative number takes some."""
        self._tokens = min(self._capacity, self._tokens + tokens)
