"""A fleet for scenarios; each feature's module says what it is to look like."""

import pytest


@pytest.fixture(scope="module")
def fleet(request, tmp_path_factory):
    """The running fleet that ``make_fleet(folder)`` of the test module describes."""
    with request.module.make_fleet(tmp_path_factory.mktemp("fleet") / "f") as found:
        yield found
