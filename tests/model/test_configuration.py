"""Guards against presets, drains and crash reports that change what they must not."""

import dataclasses

import pytest

from oriolelock.model import (
    changes,
    configuration,
    crash_record,
    delta,
    drain,
    endpoint,
    errors,
    operation,
    preset,
    priority,
    service_policy,
)
from oriolelock.wire import codec


def make_preset(name="ordinary", **fields):
    browse = operation.Operation("browse", priority.Priority.NORMAL, True, 500.0)
    policy = service_policy.ServicePolicy("web", (browse,), {"east": 1.0}, 10, 10)
    base = preset.Preset(
        name, (policy,), {"urgent": 0.5, "normal": 0.3}, 0.1, 1000.0, 0.05, 4000.0, 0.8
    )
    return dataclasses.replace(base, **fields)


def apply_all(cfg, *items, wall_s=100.0):
    for item in items:
        cfg = configuration.apply(cfg, item, cfg.index + 1, wall_s)
    return cfg


def make_endpoint(n, region):
    return endpoint.Endpoint(f"w{n}", "web", f"127.0.0.1:{n}", region, f"{region}-1", 4, 350)


def test_only_operator_changes_raise_the_version():
    """A membership change must not make an operator's expected version stale."""
    cfg = apply_all(
        configuration.EMPTY,
        changes.PutPreset(make_preset()),
        changes.UsePreset("ordinary"),
        changes.SetEndpoint(make_endpoint(1, "east")),
    )
    assert (cfg.version, cfg.index, cfg.in_force) == (2, 3, "ordinary")


@pytest.mark.parametrize(
    "fields",
    [
        {"services": ()},
        {"shares": {"urgent": 0.8, "normal": 0.8}},
        {"shares": {"first": 0.1}},
        {"shift_cap": 0.0},
        {"cold_shift_cap": 0.5},
        {"link_share": 1.5},
    ],
)
def test_invalid_preset_is_never_stored(fields):
    with pytest.raises(errors.InvalidData):
        apply_all(configuration.EMPTY, changes.PutPreset(make_preset(**fields)))


def test_unknown_preset_is_not_put_in_force():
    with pytest.raises(errors.InvalidData, match="not stored"):
        apply_all(configuration.EMPTY, changes.UsePreset("none"))


def test_drains_together_may_not_take_more_than_half_of_a_service():
    regions = ["east", "west", "north"]
    cfg = apply_all(
        configuration.EMPTY,
        *[changes.SetEndpoint(make_endpoint(n, regions[n % 3])) for n in range(6)],
        changes.AddDrain(drain.Drain("d1", "region", "east", 0.0, 10.0)),
    )
    second = drain.Drain("d2", "region", "west", 0.0, 10.0)
    with pytest.raises(errors.InvalidData, match="keep 8 of 24 slots"):
        apply_all(cfg, changes.AddDrain(second))
    forced = apply_all(cfg, changes.AddDrain(dataclasses.replace(second, forced=True)))
    assert set(forced.drains) == {"d1", "d2"}


def test_two_deaths_within_the_window_quarantine_a_request_for_a_while():
    once = apply_all(configuration.EMPTY, changes.ReportCrash("f", "w1"), wall_s=100.0)
    assert once.crashes["f"].until_s == 0.0
    late = apply_all(once, changes.ReportCrash("f", "w2"), wall_s=100.0 + crash_record.WINDOW_S)
    assert late.crashes["f"].until_s == 0.0
    twice = apply_all(once, changes.ReportCrash("f", "w2"), wall_s=101.0)
    assert twice.crashes["f"].until_s == 101.0 + crash_record.QUARANTINE_S


def test_reports_of_one_death_by_several_entries_count_once():
    """A report that is sent again, or comes from two entries, must not look like two deaths."""
    cfg = apply_all(configuration.EMPTY, changes.ReportCrash("f", "w1"), wall_s=100.0)
    cfg = apply_all(cfg, changes.ReportCrash("f", "w1"), wall_s=101.0)
    assert cfg.crashes["f"].until_s == 0.0
    cfg = apply_all(cfg, changes.ReportCrash("f", "w1"), wall_s=103.0)
    assert cfg.crashes["f"].until_s > 0.0


def test_crash_records_stay_bounded():
    cfg = configuration.EMPTY
    for n in range(crash_record.MAX_CRASH_RECORDS + 5):
        cfg = apply_all(cfg, changes.ReportCrash(f"f{n}", "w"))
    assert len(cfg.crashes) == crash_record.MAX_CRASH_RECORDS


def test_delta_gives_the_same_configuration_and_never_goes_back():
    items = [changes.PutPreset(make_preset()), changes.UsePreset("ordinary")]
    whole = apply_all(configuration.EMPTY, *items)
    committed = tuple(delta.CommittedChange(n, 100.0, c) for n, c in enumerate(items, 1))
    patched = delta.apply_all(configuration.EMPTY, 2, committed)
    assert patched == whole
    assert delta.apply_all(patched, 2, committed) == whole
    with pytest.raises(errors.InvalidData, match="go back"):
        delta.apply_all(whole, 1, ())
    assert codec.decode(codec.encode(whole)) == whole
