"""The share of an endpoint's connections that one serving host may open."""


def serving_host_share(connection_limit: int, percent: int, set_size: int) -> int:
    """Return the number of connections that one host may open; at least 1.

    `percent` is the part of the limit that all serving hosts may use together. The
    divisor counts every serving host twice, because the members of the old and of
    the new serving set may all hold connections while the set is replaced.
    """
    return max(1, connection_limit * percent // 100 // (2 * set_size))
