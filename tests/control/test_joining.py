"""Tests that a replica whose seeds are gone joins in time, whichever way it learns of others."""

import pytest

from tests.control import test_replaced_addresses, test_replica_comes_back

replicas = test_replaced_addresses.replicas
gone = test_replaced_addresses.gone


@pytest.fixture
def gone_ports(gone):
    return [port for _, port in gone]


def test_new_replica_with_one_living_seed_counts_in_time(replicas, gone_ports):
    """Attempts to connect to the other seeds must not hold up this one."""
    group = replicas(3, 4)
    group.wait_for_voters()
    number = group.add([*gone_ports[:2], group.link_address(2)[1]])
    test_replica_comes_back.wait_until_it_counts(group, number)


def test_new_replica_whose_seeds_are_gone_uses_those_of_changed_settings(replicas, gone_ports):
    group = replicas(3, 4)
    group.wait_for_voters()
    number = group.add(gone_ports)
    assert not group.running[number].replica.status().leader
    group.running[number].use_seeds((group.link_address(1),))
    test_replica_comes_back.wait_until_it_counts(group, number)


def test_restarted_replica_whose_seeds_are_gone_uses_its_stored_members(replicas, gone_ports):
    group = replicas(3, 4)
    group.wait_for_voters()
    group.lose(1)
    test_replica_comes_back.remove(group, 1)
    group.restart(1, gone_ports)
    test_replica_comes_back.wait_until_it_counts(group, 1)
