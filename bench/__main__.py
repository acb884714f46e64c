"""Runs one scenario; the last line of output is a JSON object of figures."""

import argparse
import importlib
import json

_MODULE_BY_SCENARIO = {
    "latency": "bench.latency",
    "overload": "bench.overload",
    "slow-service": "bench.overload",
    "one-heavy-organisation": "bench.overload",
    "crasher": "bench.overload",
    "configuration": "bench.configuration",
    "rates": "bench.rates",
    "slopes": "bench.slopes",
    "mesh-cost": "bench.mesh_cost",
}


def main():
    """Parses the arguments, runs the scenario and prints its figures."""
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("--scenario",
                        choices=_MODULE_BY_SCENARIO,
                        default="latency")
    parser.add_argument("--deployment",
                        choices=("manivela-sul", "chiang-khong"),
                        default="manivela-sul")
    parser.add_argument("--seconds", type=float, default=None)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--no-naive", action="store_true")
    options = parser.parse_args()
    module = importlib.import_module(_MODULE_BY_SCENARIO[options.scenario])
    figures = module.run(options)
    print(json.dumps({"scenario": options.scenario, **figures}))


if __name__ == "__main__":
    main()
