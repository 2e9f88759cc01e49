"""One replica that is left goes on with its data, and no second group comes of it."""

import hashlib
import shutil

import pytest

from oriolelock.consensus import messages, outputs
from oriolelock.control import main, recovery
from oriolelock.model import results
from oriolelock.settings import control as settings
from oriolelock.settings import loader
from oriolelock.storage import errors, store
from oriolelock.wire import codec
from tests.control import cluster, samples, test_seeds

GROUPS = ("config", "record-0", "record-1")


@pytest.fixture
def replicas(tmp_path):
    started = cluster.Cluster(tmp_path)
    started.form()
    yield started
    started.close()


def settings_path(replicas, name):
    return str(replicas.folder / f"{name}.yaml")


def load_settings(replicas, name):
    return loader.load(settings_path(replicas, name), settings.parse)


def recover(replicas, name):
    return main.main(["--recover", "--yes-lose-changes", settings_path(replicas, name)])


def put(replicas, name, preset, change_id):
    return replicas.change(name, change_id, "put-preset", None, preset=samples.preset_json(preset))


def presets(replicas, name):
    data = replicas.call(name, "configuration")[1]
    return set(data["configuration"]["presets"]) if data and data["confirmed"] else set()


def digests(folder):
    return {
        path: hashlib.sha256(path.read_bytes()).hexdigest()
        for path in sorted(folder.rglob("*"))
        if path.is_file() and path.name != "lock"
    }


def lose_all_but(replicas, kept):
    """Kill all replicas, and remove the data of those that are not kept."""
    for name in replicas.names:
        replicas.kill(name)
        if name != kept:
            shutil.rmtree(replicas.folder / name)


def test_replica_that_is_left_serves_alone_and_admits_the_others(replicas):
    """A majority that is lost for good would leave the deployment without control for ever."""
    for name in replicas.names:
        replicas.start(name)
    leader = replicas.wait_for_leader()
    assert put(replicas, leader, "normal", "1")[0] == 200
    lose_all_but(replicas, leader)
    assert recover(replicas, leader) == 0
    replicas.start(leader)
    for group in GROUPS:
        assert replicas.wait_for_leader(group) == leader
    assert cluster.wait_for(lambda: presets(replicas, leader), "a confirmed read") == {"normal"}
    assert put(replicas, leader, "peak", "2")[0] == 200
    # As if the others were repaired much later.
    state = replicas.group_state(leader)
    assert state["replicas"] == 3 and state["majority"]["voters"] == 1
    others = [name for name in replicas.names if name != leader]
    for name in others:
        replicas.start(name)
    for name in others:
        for group in GROUPS:
            cluster.wait_for(
                lambda n=name, g=group: (replicas.group_state(n, g) or {}).get("voter"),
                f"{name} votes in {group}",
            )
    replicas.kill(leader)
    successor = replicas.wait_for_leader()
    found = cluster.wait_for(lambda: presets(replicas, successor), "a confirmed read")
    assert found == {"normal", "peak"}


def test_replicas_from_seeds_join_a_recovered_one(tmp_path):
    group = test_seeds.Replicas(tmp_path, 3)
    try:
        for number in range(3):
            group.start(number, True)
        group.wait_for_voters(3)
        applied = group.running[0].operations.change(test_seeds.put(0, 1)).result(5)
        assert isinstance(applied, results.Applied)
        cfg, stores = group.running[0].cfg, group.running[0].replica._stores
        group.stop_all()
        # Otherwise the end of the process does that.
        stores["config"].close()
        recovery.recover(cfg)
        group.start(0, False)
        group.wait_for_voters(1)
        for number in (1, 2):
            group.start(number, False, "-new")
        group.wait_for_voters(3)
        assert group.running[2].operations.read().result(5).revision == 1
    finally:
        group.stop_all()


def test_without_the_flag_nothing_is_changed(replicas, capsys):
    """An operator who only looks would lose the votes of a healthy replica."""
    folder = replicas.folder / "c1"
    before = digests(folder)
    result = main.main(["--recover", settings_path(replicas, "c1")])
    assert result == main.EXIT_NOT_CONFIRMED
    assert digests(folder) == before
    text = capsys.readouterr().out
    assert "group config: voters so far c1, c2, c3; last entry 0 of term 0" in text
    assert "Nothing was changed" in text


def test_running_replica_is_refused(replicas, capsys):
    replicas.start("c1")
    replicas.start("c2")
    replicas.wait_for_leader()
    assert recover(replicas, "c1") == main.EXIT_BAD_STORAGE
    assert "in use" in capsys.readouterr().err


@pytest.mark.parametrize("is_created", [False, True])
def test_replica_without_data_is_refused(replicas, capsys, is_created):
    """It would become the only voter of an empty group, beside survivors with data."""
    shutil.rmtree(replicas.folder / "c1")
    if is_created:
        for group in GROUPS:
            store.open(replicas.folder / "c1", group).close()
    assert recover(replicas, "c1") == main.EXIT_BAD_STORAGE
    assert capsys.readouterr().err
    with pytest.raises(errors.NoMembership):
        recovery.recover(load_settings(replicas, "c1"))


def make_stored(cfg, group="config"):
    """Store entries of which the last one changes the membership; return the stored state."""
    members = [messages.Replica(name, "initial", True) for name in ("c1", "c2")]
    change = codec.encode(messages.Membership(tuple(members)))
    entries = [messages.Entry(n, 3, "noop", b"") for n in (1, 2)]
    entries.append(messages.Entry(3, 4, "membership", change))
    opened = store.open(cfg.data_folder, group)
    opened.save(outputs.Save(1, 5, "c2/initial", 0, tuple(entries)))
    stored = opened.load()
    opened.close()
    return stored


def load(cfg, group="config"):
    opened = store.open(cfg.data_folder, group)
    try:
        return opened.incarnation, opened.load()
    finally:
        opened.close()


def test_recovered_store_has_all_entries_and_one_voter(replicas):
    """Entries at the end may be acknowledged, although no commit of them is stored."""
    cfg = load_settings(replicas, "c1")
    before = make_stored(cfg)
    found = recovery.inspect(cfg)[0]
    assert (found.voters, found.last_index, found.last_term) == (("c1", "c2"), 3, 4)
    recovery.recover(cfg)
    incarnation, after = load(cfg)
    assert after.entries[:3] == before.entries
    assert incarnation != store.INITIAL_INCARNATION
    replicas_after = codec.decode(after.entries[3].data).replicas
    voters = [replica for replica in replicas_after if replica.voter]
    assert voters == [messages.Replica("c1", incarnation, True)]
    # No other replica can have an entry of this index and term.
    assert after.term == after.entries[3].term > before.term + recovery.TERM_STEP - 1
    assert after.voted_for == ""


def test_recovery_that_was_interrupted_can_be_repeated(replicas):
    """A crash in between would leave a replica that can neither go on nor be recovered."""
    cfg = load_settings(replicas, "c1")
    make_stored(cfg)
    opened = store.open(cfg.data_folder, "config")
    opened.renew_incarnation()
    opened.close()
    found = {item.group: item.role for item in recovery.inspect(cfg)}
    assert found == {"config": "no-member", "record-0": "voter", "record-1": "voter"}
    for _ in range(2):
        recovery.recover(cfg)
        assert {item.voters for item in recovery.inspect(cfg)} == {("c1",)}
        assert {item.role for item in recovery.inspect(cfg)} == {"voter"}


def test_two_recovered_replicas_have_no_term_in_common(replicas):
    """Entries of the same index and term count as the same entry."""
    terms = set()
    for name in ("c1", "c2"):
        cfg = load_settings(replicas, name)
        recovery.recover(cfg)
        terms.add(load(cfg)[1].term)
    assert len(terms) == 2
