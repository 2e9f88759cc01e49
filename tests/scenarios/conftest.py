"""A fleet of real processes for scenarios."""

import contextlib

import pytest

from oriolelock.bench import fleet as fleets
from oriolelock.bench import fleet_options
from tests.bench import small


@pytest.fixture(scope="session")
def start_fleet(tmp_path_factory):
    """Start fleets that end with the session, unless they are stopped before."""
    folder = tmp_path_factory.mktemp("fleets")
    with contextlib.ExitStack() as stack:

        def start(plan=None, prepare=None, **options):
            """Start a fleet; ``prepare(fleet)`` may change settings before that."""
            options = {"lookup_ttl": "200 ms", "leave_lag": "100 ms", "record_groups": 1, **options}
            path = folder / f"fleet-{len(list(folder.iterdir()))}"
            item = fleets.Fleet(path, plan or small.plan(), fleet_options.FleetOptions(**options))
            if prepare:
                prepare(item)
            return stack.enter_context(item)

        yield start


@pytest.fixture(scope="module")
def fleet(request, tmp_path_factory):
    """The running fleet that ``make_fleet(folder)`` of the test module describes."""
    with request.module.make_fleet(tmp_path_factory.mktemp("fleet") / "f") as found:
        yield found
