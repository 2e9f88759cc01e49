"""Guards against a planned stop that costs an election, and against the use of damaged data."""

from pytest_bdd import parsers, scenarios, then, when

from oriolelock.storage import frames

scenarios("control_storage.feature")

EXIT_BAD_STORAGE = 3


def victim(world):
    return world.fleet.control[world.old_leader]


def segment(world):
    (path,) = (victim(world).data_folder / "config").glob("log-*")
    return path


@when("the leader is stopped as planned")
def stop_leader(world):
    world.old_leader = world.leader()
    world.before = len(victim(world).log.read_text())
    assert victim(world).stop() == 0


@then("it handed its leadership over before it ended")
def handed_over(world):
    text = victim(world).log.read_text()[world.before :]
    assert "handed over" in text and "No other replica" not in text
    assert world.leader(besides=world.old_leader)


@when("a replica is killed")
def kill_replica(world):
    world.old_leader = world.others(world.leader())[0]
    victim(world).kill()


@when("its log ends with a part of a record")
def tear_log(world):
    path = segment(world)
    data = path.read_bytes()
    world.before = len(data)
    # A frame that is cut short; the length is that of the file's own first frame.
    path.write_bytes(data + data[:20])


@then("the part is cut off")
def part_is_cut_off(world):
    data = segment(world).read_bytes()
    assert data[world.before : world.before + 20] != data[:20]


@when("a byte in the middle of its log changes")
def damage_log(world):
    path = segment(world)
    data = bytearray(path.read_bytes())
    # Damage in the last record can't be told from a crash while it was written.
    *earlier, _ = frames.parse(bytes(data)).payloads
    earlier_bytes = sum(len(frames.encode(0, payload)) for payload in earlier)
    data[(earlier_bytes or len(data)) // 2] ^= 0xFF
    path.write_bytes(data)


@then("it refuses to start and tells how to rejoin")
def refuses_to_start(world):
    process = victim(world)
    process.start()
    assert process.wait() == EXIT_BAD_STORAGE
    last = process.log.read_text().splitlines()[-1]
    assert "is damaged at byte" in last and "to rejoin, move this folder away" in last


@when("its data folder is moved away")
def move_away(world):
    folder = victim(world).data_folder / "config"
    folder.rename(folder.with_name("config.damaged"))


@when("it starts again")
def start_again(world):
    world.restart(world.old_leader)


@then(parsers.parse('it counts towards the quorum and confirms preset "{word}"'))
def votes_and_confirms(world, names, word):
    world.wait_voter(world.old_leader)
    world.wait_agreement()
    assert world.status_of(world.old_leader)["in_force"] == names(word)
