"""Tests that records of replicas that are gone, and no others, are removed."""

import dataclasses

from oriolelock.control import registration
from oriolelock.model import configuration, member
from tests.control import test_seeds


def make_configuration(*members):
    return dataclasses.replace(configuration.EMPTY, members={m.name: m for m in members})


def make_replica(name, link_address=None):
    return member.Member(name, "control", "10.0.0.1:1", link_address or name, "a", "a1")


def test_record_of_a_replica_that_left_the_group_is_stale():
    entry = member.Member("10.0.0.9:1", "entry", "10.0.0.9:2", "10.0.0.9:1", "a", "a1")
    listed = make_replica("c1", "10.0.0.3:1")
    kept, gone = make_replica("10.0.0.1:1"), make_replica("10.0.0.2:1")
    cfg = make_configuration(entry, listed, kept, gone)
    assert registration.stale_members(cfg, ("10.0.0.1:1",)) == ["10.0.0.2:1"]


def test_replica_registers_under_its_link_address(tmp_path):
    cfg = test_seeds.make_settings(tmp_path, 7001, 7002, (7001,))
    own = registration.own_member(cfg)
    assert (own.name, own.link_address, own.address) == (cfg.name, cfg.name, "127.0.0.1:7002")
    assert registration.stale_members(make_configuration(own), (cfg.name,)) == []
