"""
oriolelock.gateway.gossip
~~~~~~~~~~~~~~~~~~~~~~~~~

    Shares observations of endpoints with other entries, by UDP datagrams.

    Each round goes to a few randomly selected entries, so that an entry's cost does not grow with
    the fleet. A lost datagram only leaves estimates older than necessary.
"""

import collections.abc
import random
import selectors
import socket

import cbor2

from oriolelock import clock, events
from oriolelock.dispatch import endpoint_limits, endpoint_view, observation, restarts
from oriolelock.gateway import signing
from oriolelock.http1 import loop as loops

__all__ = [
    "Gossip",
    "Report",
    "Unreadable",
    "decode",
    "encode",
    "encode_cut_off",
    "encode_limits",
    "encode_listed",
    "encode_notices",
    "encode_restarts",
    "encode_symptoms",
]

INTERVAL_S = 0.2
# Recipients of each round.
FAN_OUT = 8
# An entry with few requests collects observations of several rounds: most of a datagram with one
# of them would be headers.
MIN_OBSERVATIONS = 4
MAX_HOLD_S = 0.4
# Older observations say too little about the current load.
MAX_AGE_S = 1.0
# About 16 bytes each; keeps datagrams below the usual MTU of 1,500 bytes.
MAX_OBSERVATIONS_PER_DATAGRAM = 70
MAX_PENDING = 2 * MAX_OBSERVATIONS_PER_DATAGRAM
MAX_DATAGRAM_BYTES = 1400
# Datagrams read per event, so that gossip does not delay requests.
MAX_READS_PER_EVENT = 32
MAX_LIMITS_PER_DATAGRAM = 50
MAX_REPORTS_PER_DATAGRAM = 50
# Those of an entry that knows of more endpoints are sent in several datagrams.
MAX_RESTARTS = 1000
# Datagrams of observations, of limits, of entries that are cut off, of facts about endpoints, of
# their symptoms, of endpoints that the instance list shows as leaving, and of those that may have
# restarted. A changed format gets a new number, so that entries of an older version ignore it and
# go on. 7 is taken by ``control.list_news``.
FORMAT_VERSION = 1
LIMITS_FORMAT_VERSION = 2
CUT_OFF_FORMAT_VERSION = 3
NOTICES_FORMAT_VERSION = 4
SYMPTOMS_FORMAT_VERSION = 5
LISTED_FORMAT_VERSION = 6
RESTARTS_FORMAT_VERSION = 8
# Ratios of response times are sent as whole hundredths; 0 stands for an endpoint not reached.
RATIO_UNIT = 100
MAX_RATIO = 1000 * RATIO_UNIT
MAX_LOAD = 1_000_000
WANTS_REPLY = 2
MAX_COLD_MS = 600_000
MAX_AGE_MS = 3_600_000
# Numbers of doubts begin with Unix times in seconds.
MAX_DOUBT = 1 << 40
# Recipients of a report that this entry is cut off.
CUT_OFF_FAN_OUT = 32
SYMPTOM_FAN_OUT = 20

Address = tuple[str, int]
Symptom = observation.UnreachableReport | observation.SlownessReport
Report = (
    observation.Observation
    | observation.LimitReport
    | observation.CutOffReport
    | observation.EndpointNotice
    | observation.EntryStatus
    | restarts.Report
    | restarts.Suspicion
    | Symptom
)
log = events.Events("gossip")


class Unreadable(Exception):
    """A datagram that is corrupt, of another format version, or not from this cluster."""


def encode(observations: collections.abc.Iterable[observation.Observation], token: str) -> bytes:
    """Encode a datagram, authenticated with the cluster's token."""
    rows = []
    for seen in observations:
        load = seen.load
        load_values = (load.running, load.waiting, load.slots) if load else ()
        rows.append((seen.endpoint_digest, seen.object_digest, *load_values))
    return _authenticated((FORMAT_VERSION, rows), token)


def encode_limits(reports: collections.abc.Iterable[observation.LimitReport], token: str) -> bytes:
    """Encode a datagram of announced rates, authenticated with the cluster's token."""
    rows = [
        (
            report.endpoint_digest,
            # CBOR null stands for the end of a limit.
            None if report.rate == endpoint_limits.UNLIMITED else report.rate,
            round(report.age_s * 1000),
        )
        for report in reports
    ]
    return _authenticated((LIMITS_FORMAT_VERSION, rows), token)


def encode_cut_off(report: observation.CutOffReport, token: str) -> bytes:
    """Encode a datagram that names an entry that is cut off, authenticated as the others."""
    return _authenticated((CUT_OFF_FORMAT_VERSION, [(report.entry_digest,)]), token)


def encode_notices(
    notices: collections.abc.Iterable[observation.EndpointNotice], token: str
) -> bytes:
    """Encode a datagram of facts about endpoints, authenticated as the others."""
    rows = [(notice.endpoint_digest, notice.fact.value) for notice in notices]
    return _authenticated((NOTICES_FORMAT_VERSION, rows), token)


def encode_listed(digests: collections.abc.Iterable[int], token: str) -> bytes:
    """Encode a datagram of endpoints that the list shows as leaving, authenticated as the others.

    ``digests``: see ``peer_reports.endpoint_digest``.
    """
    return _authenticated((LISTED_FORMAT_VERSION, [(digest,) for digest in digests]), token)


def encode_symptoms(symptoms: collections.abc.Iterable[Symptom], token: str) -> bytes:
    """Encode a datagram of symptoms of endpoints, authenticated as the others."""
    rows = []
    for symptom in symptoms:
        is_slow = isinstance(symptom, observation.SlownessReport)
        ratio = round(symptom.ratio * RATIO_UNIT) if is_slow else 0
        rows.append((symptom.endpoint_digest, symptom.domain_digest, ratio))
    return _authenticated((SYMPTOMS_FORMAT_VERSION, rows), token)


def encode_restarts(
    status: observation.EntryStatus,
    reports: collections.abc.Iterable[restarts.Report | restarts.Suspicion],
    token: str,
) -> bytes:
    """Encode a datagram of endpoints that may have restarted, authenticated as the others."""
    rows = [_restart_row(report) for report in reports]
    flags = int(status.is_initiated) + WANTS_REPLY * status.wants_reply
    return _authenticated((RESTARTS_FORMAT_VERSION, [(flags,), *rows]), token)


def _restart_row(report):
    if isinstance(report, restarts.Suspicion):
        return (report.endpoint_digest, 0)
    return (
        report.endpoint_digest,
        report.number,
        report.state.value,
        round(report.cold_s * 1000),
        round(report.age_s * 1000),
    )


def _authenticated(content, token):
    return signing.sign(cbor2.dumps(content), token)


def decode(data: bytes, token: str) -> list[Report]:
    """Return the reports in a datagram; raises Unreadable."""
    payload = signing.verify(data, token)
    if payload is None:
        raise Unreadable("wrong authentication tag")
    try:
        version, rows = cbor2.loads(payload)
        parse = PARSERS.get(version)
        if parse is None:
            raise Unreadable(f"unsupported format version {version}")
        return [parse(*row) for row in rows]
    except (cbor2.CBORDecodeError, TypeError, ValueError, RecursionError) as exc:
        raise Unreadable(str(exc)) from exc


def _parse_observation(endpoint, object_digest, *load_values):
    if not all(
        isinstance(value, int) and value >= 0 for value in (endpoint, object_digest, *load_values)
    ):
        raise ValueError("field is not a non-negative integer")
    if any(value > MAX_LOAD for value in load_values):
        raise ValueError("impossible load")
    return observation.Observation(
        endpoint, object_digest, endpoint_view.Load(*load_values) if load_values else None
    )


def _parse_limit(endpoint, rate, age_ms):
    if not all(type(value) is int and value >= 0 for value in (endpoint, age_ms)):
        raise ValueError("field is not a non-negative integer")
    if rate is None:
        rate = endpoint_limits.UNLIMITED
    elif type(rate) not in (int, float) or not 0.0 <= rate < endpoint_limits.UNLIMITED:
        raise ValueError("rate is not a finite non-negative number")
    return observation.LimitReport(endpoint, float(rate), min(age_ms, MAX_AGE_MS) / 1000.0)


def _parse_cut_off(entry):
    if type(entry) is not int or entry < 0:
        raise ValueError("field is not a non-negative integer")
    return observation.CutOffReport(entry)


def _parse_notice(endpoint, fact):
    if type(endpoint) is not int or endpoint < 0:
        raise ValueError("field is not a non-negative integer")
    return observation.EndpointNotice(endpoint, endpoint_view.Fact(fact))


def _parse_listed(endpoint):
    return _parse_notice(endpoint, endpoint_view.Fact.LISTED_LEAVING)


def _parse_restart(first, *values):
    if not all(type(value) is int and value >= 0 for value in (first, *values)):
        raise ValueError("field is not a non-negative integer")
    if not values:
        return observation.EntryStatus(bool(first & 1), bool(first & WANTS_REPLY))
    if values == (0,):
        return restarts.Suspicion(first)
    number, state, cold_ms, age_ms = values
    if number > MAX_DOUBT:
        raise ValueError("impossible number of a doubt")
    cold_s, age_s = min(cold_ms, MAX_COLD_MS) / 1000.0, min(age_ms, MAX_AGE_MS) / 1000.0
    return restarts.Report(first, number, restarts.State(state), cold_s, age_s)


def _parse_symptom(endpoint, domain, ratio):
    if not all(type(value) is int and value >= 0 for value in (endpoint, domain, ratio)):
        raise ValueError("field is not a non-negative integer")
    if ratio == 0:
        return observation.UnreachableReport(endpoint, domain)
    return observation.SlownessReport(endpoint, domain, min(ratio, MAX_RATIO) / RATIO_UNIT)


PARSERS = {
    FORMAT_VERSION: _parse_observation,
    LIMITS_FORMAT_VERSION: _parse_limit,
    CUT_OFF_FORMAT_VERSION: _parse_cut_off,
    NOTICES_FORMAT_VERSION: _parse_notice,
    SYMPTOMS_FORMAT_VERSION: _parse_symptom,
    LISTED_FORMAT_VERSION: _parse_listed,
    RESTARTS_FORMAT_VERSION: _parse_restart,
}


def _parts(reports):
    """Yield parts of a sequence that fit into a datagram each."""
    for start in range(0, len(reports), MAX_REPORTS_PER_DATAGRAM):
        yield reports[start : start + MAX_REPORTS_PER_DATAGRAM]


class Gossip:
    """Not thread-safe: used in the loop's thread.

    ``on_report(report)`` is called for each received report.
    """

    def __init__(
        self,
        loop: loops.Loop,
        address: Address,
        token: str,
        on_report: collections.abc.Callable[[Report], None],
        rng: random.Random,
    ):
        self._token = token
        self._on_report = on_report
        self._rng = rng
        # Called for each readable datagram with its sender, the sender's status, None for none, and
        # what the sender suspects.
        self.on_heard: collections.abc.Callable[
            [Address, observation.EntryStatus | None, list[restarts.Suspicion]], None
        ] = lambda sender, status, suspicions: None
        self._peers: list[Address] = []
        self._pending: list[tuple[float, observation.Observation]] = []
        self.sent = self.received = self.unreadable = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        loop.watch(self._sock, selectors.EVENT_READ, self._on_readable)
        loop.call_each(INTERVAL_S, self._send_round)

    def use_peers(self, peers: collections.abc.Iterable[Address]) -> None:
        """Replace the addresses of the other entries of the region."""
        self._peers = sorted(peers)

    def publish(self, new_observation: observation.Observation) -> None:
        """Queue an observation for the next round; the oldest are dropped beyond MAX_PENDING."""
        self._pending.append((clock.monotonic_s(), new_observation))
        del self._pending[:-MAX_PENDING]

    def send_limits(
        self,
        reports: collections.abc.Sequence[observation.LimitReport],
        peers: collections.abc.Iterable[Address],
    ) -> None:
        """Send limit reports to ``peers``, which may be in other regions."""
        for start in range(0, len(reports), MAX_LIMITS_PER_DATAGRAM):
            data = encode_limits(reports[start : start + MAX_LIMITS_PER_DATAGRAM], self._token)
            for peer in peers:
                self._send(data, peer)

    def send_notices(
        self,
        notices: collections.abc.Sequence[observation.EndpointNotice],
        peers: collections.abc.Iterable[Address],
    ) -> None:
        """Send facts about endpoints to ``peers``, which may be in other regions."""
        listed = [item for item in notices if item.fact is endpoint_view.Fact.LISTED_LEAVING]
        others = [item for item in notices if item.fact is not endpoint_view.Fact.LISTED_LEAVING]
        for part in _parts(others):
            self._send_to_all(encode_notices(part, self._token), peers)
        for part in _parts([item.endpoint_digest for item in listed]):
            self._send_to_all(encode_listed(part, self._token), peers)

    def _send_to_all(self, data, peers):
        for peer in peers:
            self._send(data, peer)

    def send_symptoms(self, symptoms: collections.abc.Sequence[Symptom]) -> None:
        """Send symptoms of endpoints to entries of the region."""
        peers = self._rng.sample(self._peers, min(SYMPTOM_FAN_OUT, len(self._peers)))
        for part in _parts(symptoms):
            self._send_to_all(encode_symptoms(part, self._token), peers)

    def send_restarts(
        self,
        status: observation.EntryStatus,
        reports: collections.abc.Sequence[restarts.Report | restarts.Suspicion],
        peers: collections.abc.Sequence[Address],
    ) -> None:
        """Send the status of this entry and endpoints that may have restarted to ``peers``."""
        for part in list(_parts(reports[:MAX_RESTARTS])) or [()]:
            self._send_to_all(encode_restarts(status, part, self._token), peers)

    def send_cut_off(self, report: observation.CutOffReport) -> None:
        """Tell entries of the region that this entry reaches no endpoint."""
        data = encode_cut_off(report, self._token)
        for peer in self._rng.sample(self._peers, min(CUT_OFF_FAN_OUT, len(self._peers))):
            self._send(data, peer)

    def _send_round(self):
        now = clock.monotonic_s()
        is_old = bool(self._pending) and now - self._pending[0][0] >= MAX_HOLD_S - INTERVAL_S
        if len(self._pending) < MIN_OBSERVATIONS and not is_old:
            return
        fresh = [pending for recorded_s, pending in self._pending if now - recorded_s <= MAX_AGE_S]
        self._pending = []
        if not fresh or not self._peers:
            return
        peers = self._rng.sample(self._peers, min(FAN_OUT, len(self._peers)))
        for start in range(0, len(fresh), MAX_OBSERVATIONS_PER_DATAGRAM):
            data = encode(fresh[start : start + MAX_OBSERVATIONS_PER_DATAGRAM], self._token)
            for peer in peers:
                self._send(data, peer)

    def _send(self, data, peer):
        try:
            self._sock.sendto(data, peer)
            self.sent += 1
        except OSError as exc:
            # The peer may be gone or the link congested; later rounds send newer observations.
            log.usual("not-sent", peer=peer[0], reason=str(exc))

    def _on_readable(self, _events):
        for _ in range(MAX_READS_PER_EVENT):
            try:
                data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                log.usual("not-received", reason=str(exc))
                return
            self._receive(data, sender)

    def _receive(self, data, sender):
        try:
            reports = decode(data, self._token)
        except Unreadable as exc:
            self.unreadable += 1
            log.usual("unreadable", sender=sender[0], reason=str(exc))
            return
        self.received += 1
        status, suspicions = None, []
        for report in reports:
            match report:
                case observation.EntryStatus():
                    status = report
                case restarts.Suspicion():
                    suspicions.append(report)
                case _:
                    self._on_report(report)
        self.on_heard(sender, status, suspicions)
