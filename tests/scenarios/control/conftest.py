"""Steps that scenarios of the control state share."""

import itertools

import pytest
from pytest_bdd import given, parsers, then, when

from tests.scenarios.control import world as worlds

# Small enough that scenarios with changes by the dozen cover snapshots.
SNAPSHOT_EVERY = 50


def with_snapshots(item):
    for process in item.control.values():
        worlds.edit_settings(process, snapshot_every=SNAPSHOT_EVERY)


@pytest.fixture(scope="session")
def shared_fleet(start_fleet):
    return start_fleet(links=True, prepare=with_snapshots)


@pytest.fixture
def world(shared_fleet):
    """The shared fleet, healed before each scenario."""
    item = worlds.World(shared_fleet)
    item.heal()
    yield item
    item.close()


@pytest.fixture(scope="session")
def fresh_names():
    return (f"p{n}" for n in itertools.count(1))


@pytest.fixture
def names(fresh_names):
    """Maps the preset names of a scenario to ones that no earlier scenario used."""
    found = {}

    def name_of(word):
        return found.setdefault(word, f"{word}-{next(fresh_names)}")

    return name_of


@given(parsers.parse('preset "{word}" is in force'))
def preset_is_in_force(world, names, word):
    world.put_preset(names(word))
    world.change("use-preset", name=names(word))
    world.wait_in_force(names(word))


@given(parsers.parse('preset "{word}" is stored'))
def preset_is_stored(world, names, word):
    world.put_preset(names(word))


@when(parsers.parse('an operator puts preset "{word}" in force'))
def put_in_force(world, names, word):
    world.put_preset(names(word))
    world.answers.append(world.change("use-preset", name=names(word)))


@then(parsers.parse('preset "{word}" is in force on every entry within {limit:d} s'))
def is_in_force_everywhere(world, names, word, limit):
    world.wait_in_force(names(word), timeout_s=limit)


@then(parsers.parse('preset "{word}" is in force on every instance'))
def all_agree(world, names, word):
    world.wait_agreement()
    assert {world.in_force(name) for name in world.fleet.entries} == {names(word)}
    shown = {world.status_of(name)["in_force"] for name in world.fleet.control}
    assert shown == {names(word)}


@when("everything is healed")
def heal(world):
    world.heal()
