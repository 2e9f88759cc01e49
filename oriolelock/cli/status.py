"""
oriolelock.cli.status
~~~~~~~~~~~~~~~~~~~~~

    ``status``: which version every instance has in force.
"""

import argparse

from oriolelock.cli import client, exit_codes, output

__all__ = ["EXAMPLES", "configure", "run"]

EXAMPLES = """\
oriolelock status
oriolelock --output json status"""
COLUMNS = ("name", "role", "region", "failure_domain", "state", "seen", "version", "index", "age_s")
MEMBER_COLUMNS = ("group", "member", "voter", "reachable", "silent_s")


def configure(parser: argparse.ArgumentParser) -> None:
    """Add no arguments."""


def run(args: argparse.Namespace) -> int:
    """Print the versions, one row for each instance, and the members of the control groups.

    The members are those of the group ``config`` and of groups that lack a majority or a leader.
    """
    data = client.make_client(args).read("/oriolelock/status")
    if args.output == "json":
        output.show_json(data)
        return exit_codes.DONE
    # Without confirmation there is only the last known one.
    print(f"preset in force: {data['in_force'] or data.get('last_known_in_force') or '-'}")
    print(f"version {data['version']}, index {data['index']}, leader {data['leader'] or '-'}")
    if not data["confirmed"]:
        print("NOT CONFIRMED by a leader: this may be old")
    groups = data.get("groups", {})
    for group, found in sorted(groups.items()):
        _print_lack(group, found)
    output.show(args, data["instances"], COLUMNS)
    rows = [
        {"group": group, **member, "member": member["name"]}
        for group, found in sorted(groups.items())
        if group == "config" or not found["leader"]
        for member in found["members"]
    ]
    if rows:
        print()
        output.show(args, rows, MEMBER_COLUMNS)
    return exit_codes.DONE


def _print_lack(group, found):
    if found["role"] == "no-member":
        print(f"the replica that answered is no member of group {group}")
    if found["leader"]:
        return
    lack = "HAS NO LEADER" if found["has_majority"] else "HAS NO MAJORITY"
    print(
        f"group {group} {lack} for {found['leaderless_s']:g} s: {found['reachable']} of "
        f"{found['voters']} voters can be reached, {found['needed']} are needed"
    )
    for member in found["members"]:
        if member["voter"] and not member["reachable"]:
            print(f"  missing: {member['name']}, {_describe_silence(member)}")
    print(f"  remedy: {found['remedy']}")


def _describe_silence(member):
    if member["replaced"]:
        return "runs with another data folder"
    if member["silent_s"] is None:
        return "not heard since this replica started"
    return f"silent for {member['silent_s']:g} s"
