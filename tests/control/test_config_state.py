"""Guards against changes that are applied twice, and concurrent changes that both succeed."""

import dataclasses

from oriolelock.control import commands, config_state
from oriolelock.distribution import recent_changes
from oriolelock.model import (
    changes,
    configuration,
    delta,
    member,
    results,
    route_table,
    service,
)
from oriolelock.wire import codec
from tests.control import samples

WALL_S = 1_000.0


def use(name, change_id, expect_version=None):
    return commands.OperatorChange(change_id, expect_version, "o", changes.UsePreset(name))


def put(name, change_id, expect_version=None):
    change = changes.PutPreset(samples.make_preset(name))
    return commands.OperatorChange(change_id, expect_version, "o", change)


def apply_all(machine, *payloads, wall_s=WALL_S, index=1):
    return [
        machine.apply(index + n, commands.Command(wall_s, payload))
        for n, payload in enumerate(payloads)
    ]


def test_one_of_two_changes_of_the_same_version_wins():
    machine = config_state.ConfigState()
    first, second = apply_all(machine, put("a", "1", 0), put("b", "2", 0))
    assert first == results.Applied(1, 1)
    assert second == results.Conflict(1)
    assert set(machine.view().presets) == {"a"}


def test_resent_change_is_applied_once_even_after_a_restore():
    machine = config_state.ConfigState()
    first, _, again = apply_all(machine, put("a", "1", 0), put("b", "2", 1), put("a", "1", 0))
    assert first == again == results.Applied(1, 1)
    restored = config_state.ConfigState()
    restored.restore(machine.encode())
    assert restored.view() == machine.view()
    assert apply_all(restored, put("a", "1", 0), index=9) == [first]
    assert restored.view().version == 2


def test_result_of_a_refused_change_is_stored_too():
    machine = config_state.ConfigState()
    outcomes = apply_all(machine, use("a", "1"), put("a", "2"), use("a", "1"))
    assert isinstance(outcomes[0], results.Refused)
    assert outcomes[2] == outcomes[0]
    assert machine.view().in_force == ""


def test_reused_change_id_is_refused():
    machine = config_state.ConfigState()
    _, second = apply_all(machine, put("a", "1"), put("b", "1"))
    assert isinstance(second, results.Refused)
    assert "b" not in machine.view().presets


def test_internal_error_in_a_change_does_not_end_the_replica(monkeypatch):
    # The change is in the log, so an exception would end every replica at each restart.
    def fail(*_):
        raise KeyError("fault")

    machine = config_state.ConfigState()
    with monkeypatch.context() as patch:
        patch.setattr(config_state.configuration, "apply", fail)
        [first] = apply_all(machine, put("a", "1"))
    assert first == results.Refused("internal error: KeyError")
    assert machine.view() == configuration.EMPTY


def test_results_expire_and_are_bounded(monkeypatch):
    machine = config_state.ConfigState()
    apply_all(machine, put("a", "1"))
    apply_all(machine, put("b", "2"), wall_s=WALL_S + config_state.RESULT_RETENTION_S + 1, index=2)
    assert apply_all(machine, put("a", "1"), index=3) == [results.Applied(3, 3)]
    monkeypatch.setattr(config_state, "MAX_RESULTS", 2)
    apply_all(machine, put("c", "3"), put("d", "4"), index=4)
    assert apply_all(machine, put("b", "2"), index=6) == [results.Applied(6, 6)]


def test_time_does_not_go_back_if_a_leaders_clock_is_behind():
    machine = config_state.ConfigState()
    apply_all(machine, put("a", "1"), wall_s=5_000.0)
    apply_all(machine, put("b", "2"), wall_s=1.0, index=2)
    assert machine.wall_s == 5_000.0


def test_deltas_omit_refused_changes_and_member_changes_keep_the_version():
    machine = config_state.ConfigState()
    entry = member.Member("e1", "entry", "127.0.0.1:1", "", "perth", "p1")
    apply_all(machine, put("a", "1"), use("none", "2"), changes.SetMember(entry))
    cfg, recent = machine.changes_since(0)
    assert [change.index for change in recent] == [1, 3]
    assert (cfg.version, cfg.index) == (1, 3)
    assert delta.apply_all(configuration.EMPTY, cfg.index, recent) == cfg


def test_changes_since_an_old_index_are_unavailable(monkeypatch):
    machine = config_state.ConfigState()
    for n in range(recent_changes.RECENT_CHANGES + 2):
        entry = member.Member(f"e{n % 3}", "entry", "127.0.0.1:1", "", "perth", "p1")
        apply_all(machine, changes.SetMember(entry), index=n + 1)
    assert machine.changes_since(1)[1] is None
    cfg, recent = machine.changes_since(2)
    assert len(recent) == recent_changes.RECENT_CHANGES
    assert dataclasses.replace(cfg, index=0) != configuration.EMPTY


def make_put(revision, changed=()):
    routes = {}
    for n in range(300):
        to = f"s{revision if n in changed else 0}"
        routes[f"r{n}"] = samples.make_route(f"r{n}", to)
    services = {f"s{n}": service.Service(f"s{n}", "/", 0, 0.0, 0.0) for n in (0, revision)}
    table = route_table.RouteTable(revision, routes, services)
    return commands.OperatorChange(f"{revision}", None, "", changes.PutRoutes(revision - 1, table))


def test_a_whole_table_is_distributed_as_what_changes_in_it():
    """Guards against small links that are filled by the routes that stay as they are."""
    machine = config_state.ConfigState()
    apply_all(machine, make_put(1))
    before, _ = machine.changes_since(0)
    apply_all(machine, make_put(2, changed=(7, 8)), index=2)
    cfg, recent = machine.changes_since(1)
    assert len(codec.encode(recent[0])) < len(codec.encode(make_put(2))) / 20
    assert delta.apply_all(before, 2, recent) == cfg
    assert cfg.table == make_put(2, changed=(7, 8)).change.table


def test_all_changes_since_the_first_index_lead_to_the_table():
    machine = config_state.ConfigState()
    apply_all(machine, make_put(1), make_put(2, (3, 4)), make_put(3, (4, 5)), make_put(4))
    cfg, recent = machine.changes_since(0)
    assert delta.apply_all(configuration.EMPTY, 4, recent) == cfg
    assert cfg.table == make_put(4).change.table
