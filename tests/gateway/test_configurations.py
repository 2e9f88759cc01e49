"""Guards against a loop that applies one configuration after another while requests wait."""

import types

from oriolelock.gateway import daemon
from oriolelock.model import configuration


def test_configurations_that_arrive_together_are_applied_once():
    applied = []
    entry = types.SimpleNamespace(
        _uplink=types.SimpleNamespace(configuration=configuration.Configuration(index=9)),
        core=types.SimpleNamespace(is_confirmed=False, cfg_in_force=configuration.EMPTY),
    )

    def configure(cfg):
        applied.append(cfg.index)
        entry.core.is_confirmed, entry.core.cfg_in_force = True, cfg

    entry.core.configure = configure
    for _ in range(3):
        daemon.Gateway._configure_latest(entry)
    assert applied == [9]
    entry._uplink.configuration = configuration.Configuration(index=10)
    daemon.Gateway._configure_latest(entry)
    assert applied == [9, 10]
