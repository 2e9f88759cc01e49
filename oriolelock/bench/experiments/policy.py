"""
oriolelock.bench.experiments.policy
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

    Plays the routing decisions on sample deployments in simulated time.
"""

from oriolelock.bench.policy import samples, simulation

__all__ = ["add_arguments", "run"]

# As the entry on the users' platform: 0.28 of a cap of 0.15 a second.
SHIFT_SPEED = 0.042


def add_arguments(parser) -> None:
    """Add the options of this experiment."""
    parser.add_argument("--scene", choices=sorted(samples.SCENES), nargs="+", default=["uneven"])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--fan-out", type=int, default=6, help="entries that hear of an answer")
    parser.add_argument("--load", type=float, default=1.0, help="factor on all requests")


def _play(name, load, seed, fan_out):
    scene = samples.SCENES[name](load)
    sim = simulation.Simulation(scene, seed, SHIFT_SPEED, fan_out)
    found = sim.run()
    runs = sum(item.runs for item in sim.endpoints.values())
    warm = sum(item.warm_runs for item in sim.endpoints.values())
    return {
        "scene": name,
        "seed": seed,
        "share": round(found.share(), 3),
        "worst_place": round(found.worst_place(), 3),
        "worst_work": round(found.worst_work(), 3),
        "warm": round(warm / max(1, runs), 3),
        "largest_shift": round(found.largest_shift(), 3),
        "counts": dict(found.counts),
        "windows": [round(value, 2) for value in found.windows()],
        "by_work": {work.name: round(found.share(work.name), 3) for work in scene.works},
        "by_place": {place.name: round(found.share(place.name), 3) for place in scene.places},
    }


def run(args) -> dict:
    """Print the figures of each scene and seed."""
    rows = []
    for name in args.scene:
        for seed in range(1, args.seeds + 1):
            row = _play(name, args.load, seed, args.fan_out)
            rows.append(row)
            print(", ".join(f"{key} {value}" for key, value in row.items()))
    return {"rows": rows}
