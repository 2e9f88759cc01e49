"""Guards against confirmations that are younger than the leader's word."""

from oriolelock.distribution import leader_query, messages, pending_calls


class Parent:
    def __init__(self):
        self.pending = pending_calls.PendingCalls()
        self.sent = []
        self.query = leader_query.LeaderQuery(self.pending, self.sent.append)

    def reply(self, number, index):
        call_id = self.sent[number].call_id
        self.pending.resolve(messages.UplinkReply(call_id, messages.ConfirmedIndex(index)))

    def refuse(self, number):
        self.pending.resolve(messages.UplinkReply(self.sent[number].call_id, None, "no leader"))


def test_a_reply_confirms_since_the_begin_of_its_call():
    parent = Parent()
    assert parent.query.poll(7, 10.0) is None
    parent.reply(0, 7)
    assert parent.query.poll(7, 10.3) == 10.0
    assert parent.query.poll(7, 10.35) is None


def test_a_later_index_confirms_once_it_has_arrived():
    parent = Parent()
    parent.query.poll(7, 10.0)
    parent.reply(0, 8)
    assert parent.query.poll(7, 10.1) is None
    assert parent.query.poll(9, 10.2) == 10.0


def test_calls_are_made_in_intervals_and_the_oldest_are_given_up():
    parent = Parent()
    for half_seconds in range(20):
        parent.query.poll(7, 10.0 + half_seconds / 2)
        parent.query.poll(7, 10.0 + half_seconds / 2 + 0.1)
    assert len(parent.sent) == 20
    assert len(parent.pending._futures) == leader_query.MAX_PENDING
    parent.reply(0, 7)
    assert parent.query.poll(7, 20.0) is None


def test_the_latest_of_several_replies_counts_and_refusals_do_not():
    parent = Parent()
    for now in (10.0, 10.4, 10.8):
        parent.query.poll(7, now)
    parent.reply(1, 7)
    parent.reply(0, 7)
    parent.refuse(2)
    assert parent.query.poll(7, 10.9) == 10.4
    assert parent.query.poll(7, 11.0) is None


def test_calls_of_a_lost_connection_confirm_nothing():
    parent = Parent()
    parent.query.poll(7, 10.0)
    parent.pending.fail_all("lost")
    assert parent.query.poll(7, 10.1) is None
