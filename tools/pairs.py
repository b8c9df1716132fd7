#!/usr/bin/env python3
"""Plays the same days with the same seeds on several checkouts, and compares what clients got.

    tools/pairs.py --bench BENCH --jobs 4 --why TEXT \\
        --way before=DIR --way after=DIR --day SITE:DAY --day SITE:DAY --seed 0 --seed 11

Each way is a checkout of its own, built before the plays; seed 0 is the day's own. Prints, for each way after the
first, the mean difference in worth to the first with its standard error, by site and over all, and each play with
broken rules. --out FILE keeps everything as JSON, --plot FILE draws the differences as SVG.
"""

import argparse
import collections
import concurrent.futures
import json
import math
import pathlib
import re
import subprocess
import sys
import tempfile

PLAY_SECONDS = 1800


def arguments():
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("--bench", required=True, help="the program that plays days")
    p.add_argument("--way", action="append", required=True, help="NAME=CHECKOUT; the first is compared with")
    p.add_argument("--day", action="append", required=True, help="SITE:DAY")
    p.add_argument("--seed", action="append", type=int, default=[], help="0 is the day's own")
    p.add_argument("--jobs", type=int, default=3, help="plays at a time")
    p.add_argument("--no-cpu", action="store_true", help="charge no processor time")
    p.add_argument("--why", required=True, help="a line for the journal")
    p.add_argument("--out", help="write all plays as JSON")
    p.add_argument("--plot", help="draw the differences as SVG")
    return p.parse_args()


def play(args, way, checkout, site, day, seed):
    """Plays one day; returns what the report and the table say of it."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        call = [args.bench, "run", site, day, "--report", report.name, "--why", f"{args.why} ({way})"]
        call += ["--seed", str(seed)] if seed else []
        call += ["--no-cpu"] if args.no_cpu else []
        done = subprocess.run(call, cwd=checkout, capture_output=True, text=True, timeout=PLAY_SECONDS)
        try:
            told = json.load(open(report.name))
        except ValueError:
            sys.exit(f"{way}, {site}, {day}, seed {seed}: no report\n{done.stdout[-2000:]}{done.stderr[-2000:]}")
    broken = re.findall(r"BROKEN: ([^(\n]*)", done.stdout)
    return {
        "way": way,
        "site": pathlib.Path(site).stem,
        "day": pathlib.Path(day).stem,
        "seed": seed,
        "worth": told["G"],
        "served": told["served"],
        "refused": told["refused"],
        "failed": told["failed"],
        "broken": broken[0].strip() if broken else None,
    }


def mean_and_error(values):
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, float("nan")
    spread = sum((v - mean) ** 2 for v in values) / (len(values) - 1)
    return mean, math.sqrt(spread / len(values))


def differences(plays, first, way):
    """Differences in worth of one way to the first, by site."""
    worth = {(p["way"], p["site"], p["day"], p["seed"]): p["worth"] for p in plays}
    by_site = collections.defaultdict(list)
    for (w, site, day, seed), value in worth.items():
        before = worth.get((first, site, day, seed))
        if w == way and before is not None:
            by_site[site].append(value - before)
    return dict(by_site)


def table(plays, ways):
    first = ways[0]
    for way in ways[1:]:
        print(f"\n{way} against {first}: difference in worth")
        by_site = differences(plays, first, way)
        everything = [d for ds in by_site.values() for d in ds]
        for name, ds in [*sorted(by_site.items()), ("all", everything)]:
            mean, error = mean_and_error(ds)
            of = [p["worth"] for p in plays if p["way"] == way and name in (p["site"], "all")]
            print(f"  {name:28} {mean:+.4f} +- {error:.4f}  ({len(ds)} pairs; mean {sum(of) / len(of):.3f})")
    for p in plays:
        if p["broken"]:
            print(f"broken: {p['way']} {p['site']} {p['day']} seed {p['seed']}: {p['broken']}")


def plot(plays, ways, path):
    """One row a site and way: a dot a pair, a line at no difference."""
    rows = [(w, s, d) for w in ways[1:] for s, d in sorted(differences(plays, ways[0], w).items())]
    most = max([abs(x) for _, _, d in rows for x in d] + [0.01])
    width, left, step = 720, 300, 24
    at = lambda x: left + (width - left) * (0.5 + 0.45 * x / most)
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{step * (len(rows) + 2)}">']
    out.append(f'<line x1="{at(0)}" x2="{at(0)}" y1="0" y2="{step * (len(rows) + 1)}" stroke="gray"/>')
    for i, (way, site, ds) in enumerate(rows):
        y = step * (i + 1)
        out.append(f'<text x="4" y="{y + 4}" font-size="12">{way}: {site}</text>')
        out += [f'<circle cx="{at(d):.1f}" cy="{y}" r="3" fill="none" stroke="black"/>' for d in ds]
    out.append(f'<text x="{left}" y="{step * (len(rows) + 1) + 12}" font-size="12">-{most:.3f} to {most:.3f}</text></svg>')
    pathlib.Path(path).write_text("\n".join(out))


def main():
    args = arguments()
    ways = [w.split("=", 1) for w in args.way]
    for name, checkout in ways:
        subprocess.run([args.bench, "build"], cwd=checkout, check=True, stdout=subprocess.DEVNULL)
    days = [d.rsplit(":", 1) for d in args.day]
    todo = [(n, c, s, d, seed) for s, d in days for seed in args.seed or [0] for n, c in ways]
    plays = []
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        for one in concurrent.futures.as_completed([pool.submit(play, args, *t) for t in todo]):
            p = one.result()
            plays.append(p)
            print(f"{len(plays)}/{len(todo)} {p['way']} {p['site']} {p['day']} {p['seed']}: {p['worth']:.3f}", file=sys.stderr)
    names = [n for n, _ in ways]
    table(plays, names)
    if args.out:
        pathlib.Path(args.out).write_text(json.dumps(plays, indent=1))
    if args.plot:
        plot(plays, names, args.plot)


main()
