"""Control replicas in this process that are lost without a hand-over, cut off and replaced."""

import contextlib
import dataclasses

from oriolelock.control import hosted
from oriolelock.http1 import messages as http
from tests.control import cluster, test_seeds

__all__ = ["Replacements"]


class Replacements:
    """Replicas by number. New ones get the addresses of three living ones as their seeds."""

    def __init__(self, folder, count, capacity, **overrides):
        self._folder = folder
        self._overrides = {"election_s": (1.0, 2.0), **overrides}
        ports = cluster.free_ports(2 * capacity)
        self._ports, self._http = ports[:capacity], ports[capacity:]
        self.running = {}
        self._sends = {}
        self._next_number = count
        for number in range(count):
            self._start(number, self._ports[: min(3, count)], is_first=True)

    def name(self, number):
        """Return the name of a replica, which is its link address."""
        return f"127.0.0.1:{self._ports[number]}"

    def link_address(self, number):
        return ("127.0.0.1", self._ports[number])

    def _start(self, number, seed_ports, is_first=False, is_mute=False):
        cfg = test_seeds.make_settings(
            self._folder / str(number),
            self._ports[number],
            self._http[number],
            seed_ports,
        )
        cfg = dataclasses.replace(cfg, **self._overrides)
        hosted.form_if_first(cfg, is_first)
        self.running[number] = hosted.Hosted(
            cfg,
            [cfg.listen],
            lambda text: None,
            dict,
            lambda replica: lambda exchange: exchange.reply(http.Response(404)),
        )
        self._sends[number] = self.running[number].replica._links.send
        if is_mute:
            self.running[number].replica._links.send = lambda name, msg: False
        self.running[number].start()

    def add(self, seed_ports=None, is_mute=False):
        """Start an empty replica at a new address and return its number.

        ``is_mute``: it sends nothing until it rejoins after a cut.
        """
        number, self._next_number = self._next_number, self._next_number + 1
        living = [self._ports[n] for n in sorted(self.running)[:3]]
        self._start(number, living if seed_ports is None else seed_ports, is_mute=is_mute)
        return number

    def restart(self, number, seed_ports):
        """Start a replica that was lost again, with its folder and address."""
        self._start(number, seed_ports)

    def lose(self, number):
        """End a replica without a hand-over; its connections fall silent before they end."""
        item = self.running.pop(number)
        components = item._components
        components.instance_monitor.stop()
        components._joiner.stop()
        # ``stop`` would close the connections of entries at once.
        components.publisher._stopping = True
        components.publisher.wake()
        if components._news:
            components._news.stop()
        components._links.shutdown()
        components.replica.stop()
        for group_store in components.replica._stores.values():
            group_store.close()
        item.loop.call_soon(item._stop_serving)
        item._thread.join(5)

    def stop(self, number):
        """Stop a replica as planned."""
        item = self.running.pop(number)
        item.stop()
        for group_store in item.replica._stores.values():
            group_store.close()

    def cut_off(self, number):
        """Drop all messages of a replica, until the returned function is called."""
        rep = self.running[number].replica
        send, handle, broadcast = self._sends[number], rep._handle_message, rep.broadcast
        rep._links.send = lambda name, msg: False
        rep._handle_message = lambda sender, msg: None
        rep.broadcast = lambda msg: None

        def rejoin():
            rep._links.send, rep._handle_message, rep.broadcast = send, handle, broadcast

        return rejoin

    def leader(self):
        """Return the number of the replica that most of the running ones follow, or None."""
        statuses = {n: item.replica.status() for n, item in self.running.items()}
        for number, status in statuses.items():
            followers = [s for s in statuses.values() if s.leader == self.name(number)]
            if status.is_leader and 2 * len(followers) > len(statuses):
                return number
        return None

    def wait_for_leader(self):
        """Return the number of the leader, once there is one."""
        return cluster.wait_for(
            lambda: self.leader() is not None and [self.leader()], "a leader of the living"
        )[0]

    def wait_for_voters(self, timeout_s=cluster.WAIT_S):
        """Wait until all running replicas are voters, as they and the leader know."""

        def are_voters():
            leader = self.leader()
            if leader is None:
                return False
            running = {item.cfg.name: item.replica for item in self.running.values()}
            voters = {member.name for member in self.running[leader].replica.assess().voters}
            return voters >= set(running) and all(r.status().voter for r in running.values())

        cluster.wait_for(are_voters, f"{len(self.running)} voters", timeout_s)

    def close(self):
        """End all replicas."""
        for number in list(self.running):
            with contextlib.suppress(Exception):
                self.lose(number)
