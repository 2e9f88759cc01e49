"""
oriolelock.dispatch.costs
~~~~~~~~~~~~~~~~~~~~~~~~~

    What sending a request to an endpoint costs, as a part of the value of a timely answer.
"""

__all__ = ["COLD_RUN", "DOMAIN", "REGION", "time_cost"]

# Bytes between failure domains and between regions are billed; parts of a usual request's value.
DOMAIN = 0.05
REGION = 0.2
# A run without the object at hand keeps a slot about three times as long.
COLD_RUN = 0.12
# Up to this part of the objective the time hardly matters; from the second on it is late.
EARLY_PART = 0.65
LATE_PART = 1.15
EARLY_COST = 0.06
LATE_COST = 0.8
# An answer after the deadline is worth nothing, and the work for it is lost to others.
MISSED_COST = 1.5


def time_cost(expected_s: float, objective_s: float, left_s: float) -> float:
    """Return the cost of an answer after ``expected_s``, from 0 to ``MISSED_COST``.

    ``objective_s``: until it counts as late, ``left_s``: until it is worth nothing.
    """
    if expected_s >= left_s:
        return MISSED_COST
    if objective_s <= 0.0:
        return LATE_COST + 0.1 * expected_s / left_s
    part = expected_s / objective_s
    if part <= EARLY_PART:
        return EARLY_COST * part / EARLY_PART
    if part <= LATE_PART:
        step = (part - EARLY_PART) / (LATE_PART - EARLY_PART)
        return EARLY_COST + step * (LATE_COST - EARLY_COST)
    return LATE_COST + 0.1 * expected_s / left_s
