"""Guards against accepted changes that are lost, made twice, or denied by a stale leader."""

from pytest_bdd import parsers, scenarios, then, when

from oriolelock.bench import errors, waiting
from tests.scenarios.control import conftest

scenarios("control_changes.feature")


@when("the leader is killed")
def kill_leader(world):
    # Without a look-up of the leader in between, which would give replication time.
    world.old_leader = world.asked
    world.fleet.control[world.old_leader].kill()


@when("all replicas are killed")
def kill_all(world):
    for process in world.fleet.control.values():
        process.kill()


@then(parsers.parse('another leader confirms preset "{word}"'))
def another_leader_confirms(world, names, word):
    leader = world.leader(besides=world.old_leader)
    assert world.status_of(leader)["in_force"] == names(word)


@then(parsers.parse('the leader confirms preset "{word}"'))
def leader_confirms(world, names, word):
    assert world.status_of(world.leader())["in_force"] == names(word)


def identity(world):
    folder = world.fleet.control[world.old_leader].data_folder
    return (folder / "config" / "identity").read_bytes()


@when("a replica loses its data folder")
def lose_data(world):
    world.old_leader = world.others(world.leader())[0]
    world.answers.append(identity(world))
    process = world.fleet.control[world.old_leader]
    process.kill()
    process.delete_data()


@when("it starts again and counts towards the quorum")
def rejoin(world):
    world.restart(world.old_leader)
    world.wait_voter(world.old_leader)


@then("it has a new incarnation")
def has_new_incarnation(world):
    assert identity(world) != world.answers.pop()


@when("another replica is killed")
def kill_another(world):
    # The majority now needs the replica that lost its disk.
    world.fleet.control[world.others(world.old_leader)[0]].kill()


@when(parsers.parse('the leader is cut off silently and asked for preset "{word}"'))
def cut_off_leader(world, names, word):
    old = world.old_leader = world.leader()
    world.set_links(old, silence="all")
    # The answer comes after 9 s; the scenario goes on meanwhile.
    world.pending = world.pool.submit(
        world.send, old, f"cut-{names(word)}", "use-preset", name=names(word)
    )


@then("it does not confirm a preset")
def confirms_nothing(world):
    shown = world.status_of(world.old_leader)
    assert (shown["confirmed"], shown["in_force"]) == (False, None)


@then("it does not accept the change")
def accepts_nothing(world):
    assert world.pending.result()[0] == 503


@when("the leader is frozen")
def freeze_leader(world):
    world.old_leader = world.leader()
    world.fleet.control[world.old_leader].freeze()


@when(parsers.parse('the frozen leader receives preset "{word}" for the old version and resumes'))
def ask_frozen(world, names, word):
    old = world.old_leader
    version = world.version() - 2
    change = world.pool.submit(
        world.send, old, f"frozen-{names(word)}", "use-preset", version, name=names(word)
    )
    shown = [world.pool.submit(world.status_of, old) for _ in range(5)]
    # They wait in the socket's backlog, so that they are the first to be served.
    waiting.until(lambda: all(fut.running() for fut in (change, *shown)))
    world.fleet.control[old].resume()
    world.answers += [change.result(), *(fut.result() for fut in shown)]


@then(parsers.parse('it refuses the change and never confirms preset "{word}"'))
def refused_and_not_confirmed(world, names, word):
    (status, data), *shown = world.answers[1:]
    assert status in (409, 503), data
    assert all(item["in_force"] != names(word) for item in shown)


@when("two operators put different presets in force with the same expected version")
def race(world, names):
    for word in ("one", "two"):
        world.put_preset(names(word))
    leader = world.leader()
    version = world.version()
    futs = [
        world.pool.submit(world.send, replica, names(word), "use-preset", version, name=names(word))
        for word, replica in (("one", leader), ("two", world.others(leader)[0]))
    ]
    world.answers = [(fut.result(), word) for fut, word in zip(futs, ("one", "two"), strict=True)]
    world.before = version


@then("one wins and the other gets the conflict with the current version")
def one_wins(world, names):
    (won, word), (lost, _) = sorted(world.answers, key=lambda item: item[0][0])
    assert (won[0], won[1]["version"]) == (200, world.before + 1)
    assert lost == (409, {"result": "conflict", "version": world.before + 1})
    world.wait_in_force(names(word))


@when(parsers.parse('an operator loses the answer to a change to preset "{word}"'))
def lose_answer(world, names, word):
    world.before = world.version()
    world.change_id, world.preset = f"lost-{names(word)}", names(word)
    world.asked = world.leader()
    replica = world.others(world.asked)[0]
    try:
        # The links between replicas delay by 20 ms, so that no answer can come this soon.
        send_again(world, replica, timeout_s=0.02)
        raise AssertionError("the answer was not lost")
    except errors.CallFailed:
        pass
    world.wait_in_force(names(word))


def send_again(world, replica, **options):
    return world.send(
        replica, world.change_id, "use-preset", world.before, name=world.preset, **options
    )


@then("the resent change gets the first result")
def gets_first_result(world):
    status, data = send_again(world, world.leader(besides=world.old_leader))
    assert (status, data["version"]) == (200, world.before + 1)
    world.answers.append(data)
    assert all(item == data for item in world.answers)
    world.old_leader = ""


@when("the replicas take a snapshot and all restart")
def snapshot_and_restart(world):
    world.heal()
    world.change_many(conftest.SNAPSHOT_EVERY + 10)
    for process in world.fleet.control.values():
        waiting.until(
            lambda p=process: (p.data_folder / "config" / "snapshot").stat().st_size > 1000,
            what=f"a snapshot of {process.name}",
        )
    kill_all(world)
    world.heal()
