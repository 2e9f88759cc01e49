"""What an entry's own open connections tell of an endpoint."""

from oriolelock.dispatch import contact

COLD_S = 3.0


def test_endpoint_without_a_connection_is_not_known_to_be_warm():
    own = contact.Contact()
    assert not own.is_fresh(0.0)
    assert not own.shows_warm(COLD_S, 0.0)


def test_connection_to_a_warm_endpoint_shows_it_while_it_is_used():
    own = contact.Contact()
    own.opened(True, 10.0)
    assert own.shows_warm(COLD_S, 10.5)
    assert not own.shows_warm(COLD_S, 10.1 + contact.FRESH_S)
    own.heard(20.0)
    assert own.shows_warm(COLD_S, 20.5)


def test_connection_that_outlives_the_cold_time_shows_that_it_is_over():
    own = contact.Contact()
    own.opened(False, 10.0)
    own.heard(12.9)
    assert not own.shows_warm(COLD_S, 12.9)
    assert own.shows_warm(COLD_S, 13.0)


def test_last_end_of_a_connection_ends_the_contact():
    own = contact.Contact()
    own.opened(True, 10.0)
    own.opened(False, 10.2)
    own.closed()
    assert own.shows_warm(COLD_S, 10.3)
    own.closed()
    assert not own.shows_warm(COLD_S, 10.3)
    # What was known before says nothing of the endpoint to which it connects now.
    own.opened(False, 10.4)
    assert not own.shows_warm(COLD_S, 10.5)


def test_second_connection_does_not_make_the_first_one_younger():
    own = contact.Contact()
    own.opened(False, 10.0)
    own.opened(False, 12.5)
    assert own.shows_warm(COLD_S, 13.1)
