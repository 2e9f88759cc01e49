"""
oriolelock.control.replica
~~~~~~~~~~~~~~~~~~~~~~~~~~

    One control replica: its consensus groups, its peer links and the calls between replicas.
"""

import collections.abc
import concurrent.futures
import dataclasses

from oriolelock import logs
from oriolelock.consensus import messages as consensus_messages
from oriolelock.consensus import node_settings
from oriolelock.control import (
    call_router,
    departure,
    group_watch,
    hand_over,
    host,
    host_settings,
    host_status,
    majority,
    messages,
    peer_link,
    peer_links,
    preferences,
    state_machines,
    unavailable,
)
from oriolelock.distribution import messages as distribution_messages
from oriolelock.distribution import report_packing
from oriolelock.model import configuration
from oriolelock.settings import control as settings
from oriolelock.storage import store
from oriolelock.wire import channel, errors

__all__ = ["Replica", "form"]

# A replica with outdated knowledge of the leader forwards a join request once more.
MAX_JOIN_HOPS = 2

CONSENSUS_MESSAGES = (
    consensus_messages.Append,
    consensus_messages.AppendReply,
    consensus_messages.InstallSnapshot,
    consensus_messages.InstallSnapshotReply,
    consensus_messages.PreVote,
    consensus_messages.PreVoteReply,
    consensus_messages.RequestTransfer,
    consensus_messages.TimeoutNow,
    consensus_messages.Vote,
    consensus_messages.VoteReply,
)

log = logs.get_logger("control.replica")


class Replica:
    """Runs the groups of this replica. Public methods are thread-safe."""

    def __init__(self, cfg: settings.ControlSettings, fail: collections.abc.Callable):
        self.cfg = cfg
        self._fail = fail
        self._listeners: list[collections.abc.Callable] = []
        self._stores = {group: store.open(cfg.data_folder, group) for group in cfg.groups()}
        self._hosts = {group: self._make_host(group) for group in cfg.groups()}
        make_hello = peer_link.hello_factory(cfg, self._stores["config"].incarnation)
        self._links = peer_links.PeerLinks(cfg, make_hello)
        self._call_router = call_router.CallRouter(cfg.name, self._hosts, self.send)
        own = {
            group: consensus_messages.Replica(cfg.name, group_store.incarnation, False)
            for group, group_store in self._stores.items()
        }
        self._watch = group_watch.GroupWatch(self._hosts, own, self.last_heard)
        # Called with reports and the name of the replica that relayed them.
        self.take_reports: collections.abc.Callable = lambda batch, sender: None
        # Called with the rows of ``messages.SilentEntries``.
        self.take_silence: collections.abc.Callable = lambda rows: None
        # See ``pauses.PauseDetector.lag_s``.
        self.lag_s: collections.abc.Callable[[], float] = lambda: 0.0

    def _make_host(self, group):
        cfg = self.cfg
        group_store = self._stores[group]
        preferred = bool(cfg.peers) and (preferences.preferred_leader(group, cfg.peers) == cfg.name)
        min_s, max_s = cfg.election_s
        node_cfg = node_settings.NodeSettings(
            cfg.name,
            group_store.incarnation,
            election_min_s=min_s,
            election_max_s=max_s,
            preferred=preferred,
        )

        def send(target, msg):
            self.send(target, messages.GroupMessage(group, group_store.incarnation, msg))

        return host.Host(
            host_settings.HostSettings(
                group,
                node_cfg,
                cfg.snapshot_every,
                send,
                self._fail,
                self._notify_listeners,
                cfg.min_voters if cfg.seeds else None,
                self.last_heard,
                self.knows_joint,
                # Replicas from seeds ask to be admitted to ``config`` only.
                self.member_names if cfg.seeds and group != "config" else tuple,
            ),
            group_store,
            state_machines.make_state_machine(group),
        )

    def start(self) -> None:
        """Start connecting to peers and participating in all groups."""
        self._call_router.start()
        self._links.start()
        for group_host in self._hosts.values():
            group_host.start()
        self._watch.start()

    def hand_over(self) -> None:
        """Transfer leadership of all groups to other replicas; gives up after 2 s."""
        hand_over.hand_over(self._hosts.values())

    def stop(self) -> None:
        """Stop all threads of the replica."""
        self._watch.stop()
        self._call_router.stop()
        self._stop_groups()
        self._links.stop()

    def _stop_groups(self):
        for group_host in self._hosts.values():
            group_host.stop()

    def depart(self) -> None:
        """Stop taking part in the groups, as planned; ``stop`` follows."""
        config = self._hosts["config"]
        status, members = config.status(), config.membership()
        self._stop_groups()
        if self.cfg.seeds and departure.may_depart(status, members, self.cfg.name):
            others = [member.name for member in members.replicas if member.name != self.cfg.name]
            departure.give_up_vote(self.cfg, others, self.send)

    def listen(self, listener: collections.abc.Callable) -> None:
        """Call ``listener(group)`` after each commit and each change of leader."""
        self._listeners.append(listener)

    def _notify_listeners(self, group):
        # A follower that becomes leader needs the links at once, and knows who has been silent.
        self._links.connect(self._hosts[group].member_names())
        for listener in self._listeners:
            listener(group)

    def send(self, target: str, msg: object) -> bool:
        """Send a message to another replica; returns False if it was dropped."""
        return self._links.send(target, msg)

    def broadcast(self, msg: object) -> None:
        """Send a message to all other replicas."""
        self._links.connect(self.member_names())
        for link in self._links.all().values():
            link.send(msg)

    @property
    def incarnation(self) -> str:
        """The random id of the data folder of the group ``config``."""
        return self._stores["config"].incarnation

    def member_names(self) -> tuple[str, ...]:
        """Return the names of the replicas in the group ``config``."""
        return self._hosts["config"].member_names()

    def drop_unused_links(self, now: float) -> None:
        """Close links that were not used recently, except to members of any group.

        ``now`` is of the monotonic clock.

        A new leader judges the members of its group by when their links were last alive.
        """
        members = {name for item in self._hosts.values() for name in item.member_names()}
        self._links.drop_unused(members, now)

    def last_heard(self) -> dict[str, float]:
        """Return the monotonic times at which the other replicas last sent anything, by name.

        Replicas that were never connected are left out; see ``peer_link.PeerLink.last_heard_s``.
        """
        links = self._links.all().items()
        return {name: heard_s for name, link in links if (heard_s := link.last_heard_s) is not None}

    def knows_joint(self) -> dict[str, bool]:
        """Return whether the builds of the other replicas know joint memberships, by name.

        Replicas that were never connected are left out.
        """
        links = self._links.all().items()
        return {name: link.knows_joint for name, link in links if link.knows_joint is not None}

    def configuration(self) -> configuration.Configuration:
        """Return the latest configuration applied on this replica."""
        return self._hosts["config"].state_machine.view()

    def changes_since(self, index: int):
        """See ``state.ConfigState.changes_since``."""
        return self._hosts["config"].state_machine.changes_since(index)

    def last_number(self, subject: str) -> int:
        """See ``config_state.ConfigState.last_number``."""
        return self._hosts["config"].state_machine.last_number(subject)

    def status(self, group: str = "config") -> host_status.HostStatus:
        """Return the state of a group as this replica sees it."""
        return self._hosts[group].status()

    def assess(self, group: str = "config") -> majority.Assessment:
        """Return what this replica knows of the members and the majority of a group."""
        return self._watch.assess(group)

    def assess_all(self) -> dict[str, majority.Assessment]:
        """Return what this replica knows of the members and the majorities of all groups."""
        return {group: self._watch.assess(group) for group in self._hosts}

    def dump(self) -> dict:
        """Return the states of groups and links as JSON data."""
        return {
            "groups": {
                group: {
                    **vars(group_host.status()),
                    "majority": majority.to_json(self.assess(group)),
                }
                for group, group_host in self._hosts.items()
            },
            "connected": sorted(name for name, link in self._links.all().items() if link.connected),
        }

    def call(self, group: str, payload: object, timeout_s: float) -> concurrent.futures.Future:
        """Send a payload to the leader of ``group`` and return a future of its result.

        The result is ``Unavailable`` when there is none after ``timeout_s``.
        """
        return self._call_router.call(group, payload, timeout_s)

    def propose(self, group: str, payload: object) -> concurrent.futures.Future:
        """Propose a command if this replica leads ``group`` and return a future of its result.

        The result is ``Unavailable`` if it does not lead. After a loss of leadership the future may
        complete late.
        """
        return self._hosts[group].propose(payload)

    def confirm(self, timeout_s: float) -> concurrent.futures.Future:
        """Return a future of ``Confirmed`` once this replica's configuration is current.

        The result is ``Unavailable`` when no leader answers within ``timeout_s``.
        """
        return self._call_router.call("config", messages.ConfirmRead(), timeout_s)

    def serve_peer(self, conn: channel.Channel) -> None:
        """Handle the messages of another replica until its connection is closed."""
        sender = conn.peer.name
        if not self._links.accepts(sender):
            log.warning(
                "Rejected a connection from {}, which is not among the peers in the settings.",
                sender,
            )
            conn.close()
            return
        while True:
            try:
                msg = conn.recv(channel.HEARTBEAT_INTERVAL_S)
            except errors.ChannelClosed:
                return
            except errors.DecodeError as exc:
                log.warning("Malformed message from {}: {}.", sender, exc)
                conn.close()
                return
            if msg is not None:
                self._handle_message(sender, msg)

    def _handle_message(self, sender, msg):
        if isinstance(msg, messages.GroupMessage):
            if msg.group in self._hosts and isinstance(msg.msg, CONSENSUS_MESSAGES):
                self._watch.record_incarnation(msg.group, sender, msg.incarnation)
                self._hosts[msg.group].receive(sender, msg.incarnation, msg.msg)
        elif isinstance(msg, messages.Join):
            self._handle_join(msg)
        elif isinstance(msg, messages.Forward):
            self._handle_forward(sender, msg)
        elif isinstance(msg, messages.ForwardReply):
            self._call_router.handle_reply(msg)
        elif isinstance(msg, distribution_messages.StatusBatch):
            self.take_reports(msg, sender)
        elif isinstance(msg, report_packing.PackedReports):
            self.take_reports(report_packing.unpack(msg), sender)
        elif isinstance(msg, messages.SilentEntries):
            self.take_silence(msg.rows)

    def _handle_join(self, msg):
        if self.lag_s():
            # The request may be of a process that has ended; others are repeated.
            return
        config = self._hosts["config"]
        leader = config.status().leader
        if leader == self.cfg.name:
            config.admit(msg.name, msg.incarnation)
        elif leader and msg.hops < MAX_JOIN_HOPS:
            self.send(leader, dataclasses.replace(msg, hops=msg.hops + 1))

    def _handle_forward(self, sender, msg):
        if msg.group not in self._hosts:
            return

        def reply(fut):
            self.send(sender, messages.ForwardReply(msg.call_id, fut.result()))

        lag_s = self.lag_s()
        if lag_s and not isinstance(msg.payload, call_router.RESENDABLE):
            log.warning("A call by {} may have waited for {:.1f} s and is refused.", sender, lag_s)
            result = unavailable.Unavailable("the call may be outdated", retry=True)
            self.send(sender, messages.ForwardReply(msg.call_id, result))
            return
        self._call_router.serve(msg.group, msg.payload).add_done_callback(reply)


def form(cfg: settings.ControlSettings) -> None:
    """Create the data folders of an initial replica; raises StorageError if they exist."""
    names = sorted(peer.name for peer in cfg.peers) or [f"{h}:{p}" for h, p in cfg.seeds]
    voters = [consensus_messages.Replica(n, store.INITIAL_INCARNATION, True) for n in names]
    for group in cfg.groups():
        store.bootstrap(cfg.data_folder, group, consensus_messages.Membership(tuple(voters)))
