"""
oriolelock.control.status_view
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    What ``GET /oriolelock/status`` shows.
"""

from oriolelock.distribution import reports
from oriolelock.model import configuration, member
from oriolelock.settings import control as settings

__all__ = ["make_status"]


def make_status(
    cfg: settings.ControlSettings,
    current: configuration.Configuration,
    heard: reports.Reports,
    confirmed: bool,
    leader: str,
    now: float,
) -> dict:
    """Return the status as JSON data.

    Without confirmation ``in_force`` is None, because another preset may be in force by now;
    ``last_known_in_force`` is what this replica has.
    """
    members = dict(current.members)
    for peer in cfg.peers:
        members.setdefault(peer.name, _peer_member(cfg, peer))
    rows = [_row(members[name], heard.find(name), now) for name in sorted(members)]
    return {
        "confirmed": confirmed,
        "leader": leader,
        "version": current.version,
        "index": current.index,
        "in_force": current.in_force if confirmed else None,
        "last_known_in_force": current.in_force,
        "instances": rows,
    }


def _peer_member(cfg, peer):
    domain = cfg.failure_domain if peer.name == cfg.name else ""
    address, link = (f"{a[0]}:{a[1]}" for a in (peer.address, peer.link_address))
    return member.Member(peer.name, "control", address, link, peer.region, domain)


def _row(item, found, now):
    age_s = now - found.measured_s if found else None
    seen = age_s is not None and age_s <= reports.SEEN_LIMIT_S
    report = found.report if found else None
    state = report.state if report and seen and item.state == "live" else item.state
    return {
        "name": item.name,
        "role": item.role,
        "region": item.region,
        "failure_domain": item.failure_domain,
        "state": state,
        "version": report.version if report else None,
        "index": report.index if report else None,
        "since": report.since_s if report else None,
        "seen": seen,
        "age_s": None if age_s is None else round(age_s, 3),
    }
