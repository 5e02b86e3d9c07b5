"""Checks the mean results of one scenario over several seeds against its section of the bounds file."""

import configparser
import json
import sys


def compare_with_baselines(results):
    """Returns the stall ratio, efficiency ratio and extra deadline misses against the best baseline for one seed."""
    *baselines, policy = [r for r in results if r["policy"] != "cost-lru"]
    stall = policy["stall_total"] / min(b["stall_total"] for b in baselines)
    efficiency = policy["efficiency"] / max(b["efficiency"] for b in baselines)
    misses = policy["misses"] - min(b["misses"] for b in baselines)
    return stall, efficiency, misses


def main():
    name, bounds_file, *files = sys.argv[1:]
    parser = configparser.ConfigParser()
    parser.read(bounds_file)
    bounds = parser[name]
    seeds = []
    for file in files:
        with open(file, encoding="utf-8") as handle:
            seeds.append(compare_with_baselines(json.load(handle)))
    stall, efficiency, misses = (sum(column) / len(seeds) for column in zip(*seeds))
    checks = [
        ("load stall ratio", stall, "<=", bounds.getfloat("stall-ratio-most")),
        ("efficiency ratio", efficiency, ">=", bounds.getfloat("efficiency-ratio-least")),
        ("misses above", misses, "<=", bounds.getfloat("misses-above-most")),
    ]
    all_met = True
    for label, value, relation, bound in checks:
        met = value <= bound if relation == "<=" else value >= bound
        all_met = all_met and met
        print(f"{name}: {label} {value:.3f} {relation} {bound}: {'met' if met else 'MISSED'}")
    sys.exit(0 if all_met else 1)


if __name__ == "__main__":
    main()
