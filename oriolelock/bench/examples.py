"""
oriolelock.bench.examples
~~~~~~~~~~~~~~~~~~~~~~~~~

    The example deployments, whole or scaled to what one machine carries.
"""

import collections
import dataclasses

from oriolelock.bench import process
from oriolelock.settings import deployment, loader

__all__ = ["NAMES", "load", "scaled"]

NAMES = ("swanport", "bula")
FOLDER = process.ROOT / "examples"


def load(name: str) -> deployment.Deployment:
    """Return an example deployment."""
    return loader.load(str(FOLDER / name / "deployment.yaml"), deployment.parse)


def scaled(plan: deployment.Deployment, per_service: int) -> deployment.Deployment:
    """Return ``plan`` with the first ``per_service`` endpoints of each service."""
    kept, seen = [], collections.Counter()
    for item in plan.endpoints:
        seen[item.service] += 1
        if seen[item.service] <= per_service:
            kept.append(item)
    return dataclasses.replace(plan, endpoints=tuple(kept))
