"""Judges the figures of several seeds of one scenario by the bounds of its section."""

import configparser
import json
import sys


def ratios(figures):
    """Stall ratio, efficiency ratio and misses above the best baseline, for one seed."""
    *baselines, policy = [f for f in figures if f["policy"] != "cost-lru"]
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
            seeds.append(ratios(json.load(handle)))
    stall, efficiency, misses = (sum(column) / len(seeds) for column in zip(*seeds))
    checks = [
        ("load stall ratio", stall, "<=", bounds.getfloat("stall-ratio-most")),
        ("efficiency ratio", efficiency, ">=", bounds.getfloat("efficiency-ratio-least")),
        ("misses above", misses, "<=", bounds.getfloat("misses-above-most")),
    ]
    met = True
    for label, value, sign, bound in checks:
        good = value <= bound if sign == "<=" else value >= bound
        met = met and good
        print(f"{name}: {label} {value:.3f} {sign} {bound}: {'met' if good else 'MISSED'}")
    sys.exit(0 if met else 1)


if __name__ == "__main__":
    main()
