"""Guards against entries that are lost to lookups, or cut off behind a dead parent."""

import threading

import pytest
import yaml
from pytest_bdd import given, parsers, scenarios, then, when

from oriolelock.bench import http, waiting
from oriolelock.settings import deployment
from oriolelock.settings import node as nodes
from tests.bench import small
from tests.scenarios.control import world as worlds

scenarios("control_members.feature")

ENTRIES = 5
JOINING = f"entry-{ENTRIES - 1}"
CLIENTS = 40


def one_domain_plan():
    """Return a deployment whose entries are all in one failure domain."""
    data = small.data()
    place = data["entries"][0]
    data["entries"] = [{**place, "name": f"entry-{n}"} for n in range(ENTRIES)]
    top = nodes.Node("test", "", data)
    found = deployment.parse(top)
    top.finish()
    return found


def leave_out(item):
    """Take the joining entry out of the instance list and of the processes to start."""
    item.joining = item.entries.pop(JOINING)
    listed = yaml.safe_load(item.instances.settings.read_text())["instances"]
    item.joining_row = next(row for row in listed if row["id"] == JOINING)
    rest = [row for row in listed if row["id"] != JOINING]
    worlds.edit_settings(item.instances, instances=rest)


@pytest.fixture(scope="module")
def shared_fleet(start_fleet):
    # The detector needs 3 s to find an entry that did not announce its stop.
    item = start_fleet(one_domain_plan(), prepare=leave_out, leave_lag="2 s")
    yield item
    item.stop()


@pytest.fixture(autouse=True)
def list_as_before(shared_fleet, world):
    yield
    if shared_fleet.entries.pop(JOINING, None):
        post_list(shared_fleet, "lag", {"lag": "0 s"})
        shared_fleet.joining.stop()
        post_list(shared_fleet, f"instances/{JOINING}", {"remove": True})
        wait_gone(world)


def post_list(item, path, data):
    http.post_json(item.instances.address, f"/{path}", data)


def listed(world):
    return {row["name"] for row in waiting.until(world.status)["instances"]}


def wait_gone(world):
    waiting.until(lambda: JOINING not in listed(world), what=f"{JOINING} gone")


@when("an entry starts and the instance list shows it")
def join(world):
    item = world.fleet
    item.joining.start()
    post_list(item, f"instances/{JOINING}", {**item.joining_row, "state": "live"})
    item.joining.wait_ready()
    item.entries[JOINING] = item.joining


@then("all entries name it in lookups")
def all_name_it(world):
    for name in world.fleet.entries:
        waiting.until(lambda n=name: JOINING in world.lookup(n, CLIENTS), 10, f"named by {name}")


@when("it stops as planned and leaves the instance list")
def leave(world):
    assert world.fleet.entries.pop(JOINING).stop() == 0
    post_list(world.fleet, f"instances/{JOINING}", {"remove": True})


@then('no entry names it in lookups, and "status" does not list it')
def none_names_it(world):
    assert all(JOINING not in world.lookup(name, CLIENTS) for name in world.fleet.entries)
    wait_gone(world)


def children(world):
    """Return the entries that follow another entry, by that entry's name."""
    found = {
        name: world.entry_state(name)["children"]
        for name, process in world.fleet.entries.items()
        if process.is_running()
    }
    return {name: rows for name, rows in found.items() if rows}


@given("entries follow a parent entry")
def entries_follow(world):
    # Below two heads, all other entries have the same parent.
    found = waiting.until(
        lambda: [x for x in children(world).items() if len(x[1]) == len(world.fleet.entries) - 2],
        what="the tree",
    )
    ((world.entry, world.below),) = found


@when("the parent is killed")
def kill_parent(world):
    world.fleet.entries[world.entry].kill()


@then(parsers.parse("its children move to another parent within {limit:d} s"))
def children_move(world, limit):
    # One of the children becomes a head itself, below a control replica.
    def moved():
        of_entries = {name for rows in children(world).values() for name in rows}
        others = set(world.below) - of_entries
        return len(others) <= 1 and others <= world.subscribers_of_control()

    waiting.until(moved, limit, f"{world.below} moved")


@then(parsers.parse('preset "{word}" is in force on the other entries within {limit:d} s'))
def others_follow(world, names, word, limit):
    rest = [name for name in world.fleet.entries if name != world.entry]
    world.wait_in_force(names(word), rest, limit)


@when(parsers.parse("the instance list stops for {seconds:d} s"))
def stop_list(world, seconds):
    world.names = listed(world)
    post_list(world.fleet, "faults", {"kind": "stopped"})
    # Several times as long as a missing instance is kept: three readings of 250 ms.
    threading.Event().wait(seconds)


@then("no instance was removed")
def none_removed(world):
    assert listed(world) == world.names
    post_list(world.fleet, "faults", {"kind": "stopped", "off": True})
    assert set(world.fleet.entries) <= world.names


@when(parsers.parse("the instance list shows for {seconds:d} s what it showed before that"))
def list_lags(world, seconds):
    world.names = listed(world)
    post_list(world.fleet, "lag", {"lag": "1 h"})
    threading.Event().wait(seconds)
