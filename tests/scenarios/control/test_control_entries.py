"""Guards against entries that fall behind for good, go back, or hide that they are cut off."""

import contextlib
import io
import json

from pytest_bdd import parsers, scenarios, then, when

from oriolelock import cmdline
from oriolelock.bench import http, waiting
from oriolelock.wire import channel

scenarios("control_entries.feature")


def log_of(world, name):
    """Return what an entry or a replica logged since ``mark_logs``."""
    process = {**world.fleet.entries, **world.fleet.control}[name]
    return process.log.read_text()[world.log_marks[name] :]


def mark_logs(world):
    processes = [*world.fleet.entries.values(), *world.fleet.control.values()]
    world.log_marks = {process.name: len(process.log.read_text()) for process in processes}


@when("one entry is killed and the other one cut off silently")
def lose_entries(world):
    mark_logs(world)
    world.before = world.version()
    world.fleet.entries["entry-0"].kill()
    world.set_links("entry-1", silence="all")


@when(parsers.parse("{count:d} changes are made"))
def make_changes(world, count):
    world.change_many(count)


@then("the entry that was killed caught up by one snapshot, the other one by one delta")
def caught_up(world):
    for name in world.fleet.entries:
        lines = [s for s in log_of(world, name).splitlines() if "in use" in s]
        versions = [int(s.split("version ")[1].split()[0]) for s in lines]
        # Later lines are changes of the entries' own states.
        between = [v for v in versions if world.before < v < world.before + 1000]
        assert between == [] and max(versions) > world.before + 1000, versions


@when("a replica is cut off from the other replicas silently")
def cut_off_replica(world):
    world.old_leader = world.others(world.leader())[0]
    rest = world.others(world.old_leader)
    pairs = {f"{a}>{world.old_leader}" for a in rest} | {f"{world.old_leader}>{a}" for a in rest}
    world.fleet.set_links(lambda link: link in pairs, silence="all")


@when("an entry reaches only that replica")
def reach_only(world):
    mark_logs(world)
    world.entry = "entry-0"
    world.wait_in_force(world.status()["in_force"])
    links = {f"{world.entry}>{name}" for name in world.others(world.old_leader)}
    world.fleet.set_links(lambda link: link in links, silence="all")


@then(parsers.parse('the entry keeps preset "{word}" while it is connected to that replica'))
def keeps_preset(world, names, word):
    address = world.fleet.control[world.old_leader].address

    def is_connected():
        return world.entry in http.get_json(address, "/oriolelock/state")["subscribers"]

    waiting.until(is_connected, what="the entry at the replica that lags")
    assert world.status_of(world.old_leader)["last_known_in_force"] != names(word)
    # An entry leaves a parent that the leader does not confirm, and comes back for want of another.
    waiting.until(lambda: "not confirmed for" in log_of(world, world.entry), what="unconfirmed")
    assert world.in_force(world.entry) == names(word)


@when("the entry is killed and started again")
def restart_entry(world):
    mark_logs(world)
    world.fleet.entries[world.entry].kill()
    world.fleet.entries[world.entry].start()


@then(parsers.parse('the entry refuses callers with "{reason}"'))
def refuses(world, reason):
    # The entry received the older configuration, and does not use it for callers.
    waiting.until(lambda: "is held" in log_of(world, world.entry), what="an old configuration")
    assert "in use" not in log_of(world, world.entry)
    reply = world.request(world.entry, "read")
    assert (reply.status, reply.headers["oriolelock-outcome"]) == (503, "not-run")
    assert reply.headers["oriolelock-reason"] == reason
    assert "oriolelock-config-version" not in reply.headers
    assert not world.fleet.entries[world.entry].is_ready()


@when("an entry is cut off silently")
def cut_off_entry(world):
    world.entry = "entry-0"
    world.set_links(world.entry, silence="all")


@then("the others stop to name it in lookups")
def others_do_not_name(world):
    waiting.until(lambda: world.entry not in world.lookup("entry-1"), 10, "removed from lookups")


@then("the others name it in lookups again")
def others_name_again(world):
    assert world.entry in world.lookup("entry-1")


@then('"oriolelock status" shows it as unseen')
def status_shows_unseen(world):
    with contextlib.redirect_stdout(io.StringIO()) as out:
        arguments = world.fleet.control_arguments()
        assert cmdline.main([*arguments, "--output", "json", "status"]) == 0
    rows = {row["name"]: row for row in json.loads(out.getvalue())["instances"]}
    assert [name for name, row in rows.items() if not row["seen"]] == [world.entry]
    assert rows[world.entry]["state"] == "down"


@then(parsers.parse('preset "{word}" is in force on the other entries within {limit:d} s'))
def others_follow(world, names, word, limit):
    world.wait_in_force(names(word), ["entry-1"], limit)


@then(parsers.parse('the entry completes an operation "{operation}" under preset "{word}"'))
def completes(world, names, operation, word):
    reply = world.request(world.entry, operation)
    assert (reply.status, reply.headers["oriolelock-outcome"]) == (200, "complete")
    assert world.in_force(world.entry) == names(word)


@then(parsers.parse('the entry refuses a keyed operation "{operation}" with "{reason}"'))
def refuses_keyed(world, operation, reason):
    before = len(world.fleet.runs())
    reply = world.request(world.entry, operation, key="new")
    assert (reply.status, reply.headers["oriolelock-outcome"]) == (503, "not-run")
    assert reply.headers["oriolelock-reason"] == reason
    assert len(world.fleet.runs()) == before


@when("all open connections between instances go silent")
def silence_open(world):
    mark_logs(world)
    world.fleet.set_links(lambda link: True, silence="open")


@then("every connection between replicas was replaced")
def replaced(world):
    def all_connected():
        return all(
            len(http.get_json(process.address, "/oriolelock/state")["connected"]) == 2
            for process in world.fleet.control.values()
        )

    waiting.until(all_connected, what="all replicas connected")
    for name in world.fleet.control:
        assert f"silent for {channel.PEER_TIMEOUT_S}" in log_of(world, name)
