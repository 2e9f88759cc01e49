"""
oriolelock.control.status_view
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Response data of ``GET /oriolelock/status``.
"""

from oriolelock.distribution import reports
from oriolelock.model import configuration, member
from oriolelock.settings import control as settings

__all__ = ["make_status"]


def make_status(
    cfg: settings.ControlSettings,
    current: configuration.Configuration,
    status_reports: reports.Reports,
    confirmed: bool,
    leader: str,
    now: float,
) -> dict:
    """Return the status as JSON data.

    If ``confirmed`` is false, ``in_force`` is None, because another preset may be in force by now;
    ``last_known_in_force`` is the preset that this replica knows.
    """
    members = dict(current.members)
    for peer in cfg.peers:
        members.setdefault(peer.name, _peer_member(cfg, peer))
    rows = [
        _instance_row(members[name], status_reports.find(name), now) for name in sorted(members)
    ]
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


def _instance_row(instance, received, now):
    age_s = now - received.measured_s if received else None
    seen = age_s is not None and age_s <= reports.SEEN_LIMIT_S
    report = received.report if received else None
    state = report.state if report and seen and instance.state == "live" else instance.state
    return {
        "name": instance.name,
        "role": instance.role,
        "region": instance.region,
        "failure_domain": instance.failure_domain,
        "state": state,
        "version": report.version if report else None,
        "index": report.index if report else None,
        "since": report.since_s if report else None,
        "seen": seen,
        "age_s": None if age_s is None else round(age_s, 3),
    }
