"""
oriolelock.dispatch.costs
~~~~~~~~~~~~~~~~~~~~~~~~~

    Cost of sending a request to an endpoint, relative to the value of a timely response.
"""

__all__ = [
    "CACHE_MISS",
    "CROSS_DOMAIN",
    "CROSS_REGION",
    "MISSED_COST",
    "UNREACHABLE",
    "time_cost",
]

# Traffic between failure domains and between regions is billed.
CROSS_DOMAIN = 0.05
CROSS_REGION = 0.2
# A request whose object is not cached holds a slot about three times as long.
CACHE_MISS = 0.12
# Other entries can't connect to the endpoint; the attempt would most likely be lost.
UNREACHABLE = 1.0
# Below the first ratio to the latency objective, time costs little; above the second it is late.
EARLY_RATIO = 0.65
LATE_RATIO = 1.15
EARLY_COST = 0.06
LATE_COST = 0.8
# A response after the deadline is worthless and its work took capacity from other requests.
MISSED_COST = 1.5


def time_cost(expected_s: float, objective_s: float, left_s: float) -> float:
    """Return the cost of a response after ``expected_s``, from 0 to ``MISSED_COST``.

    ``objective_s``: time left until the response is late; ``left_s``: until the deadline.
    """
    if expected_s >= left_s:
        return MISSED_COST
    if objective_s <= 0.0:
        return LATE_COST + 0.1 * expected_s / left_s
    ratio = expected_s / objective_s
    if ratio <= EARLY_RATIO:
        return EARLY_COST * ratio / EARLY_RATIO
    if ratio <= LATE_RATIO:
        fraction = (ratio - EARLY_RATIO) / (LATE_RATIO - EARLY_RATIO)
        return EARLY_COST + fraction * (LATE_COST - EARLY_COST)
    return LATE_COST + 0.1 * expected_s / left_s
