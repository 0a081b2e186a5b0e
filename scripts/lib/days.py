"""Prints what reduces the credit of played days, and plots the outcomes of requests over time. See scripts/days."""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile

# The longest day takes 60 s on the bench while other days are played at the same time.
DAY_TIMEOUT_S = 400
# Prices below this share of the credit of the day are not printed.
MIN_PRICE_SHARE = 0.0005
OUTCOMES = (("in_aim", "#2e7d32"), ("late", "#f9a825"), ("refused", "#1565c0"), ("failed", "#c62828"))
WIDTH, HEIGHT, MARGIN = 900, 260, 40


def read_report(path):
    """Reads a report; raises ValueError if it is unreadable or incomplete."""
    try:
        report = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, json.JSONDecodeError) as error:
        raise ValueError(f"{path}: not a readable report: {error}") from error
    missing = [key for key in ("G", "classes", "windows", "prices") if key not in report]
    if missing:
        raise ValueError(f"{path}: not a report of a day: {', '.join(missing)} missing")
    return report


def class_rows(report):
    """Returns a row for each kind of request: name, asked, in time, late, refused, failed, not owed, worth."""
    keys = ("name", "n", "in_aim", "late", "refused", "failed", "not_owed", "worth")
    return [tuple(kind[key] for key in keys) for kind in report["classes"]]


def price_rows(report):
    """Returns (name, amount, share of the credit) of the prices to print, the highest share first."""
    rows = [tuple(price[:3]) for price in report["prices"] if price[2] >= MIN_PRICE_SHARE]
    return sorted(rows, key=lambda row: -row[2])


def print_day(name, report, out=sys.stdout):
    print(f"{name}: worth {report['G']:.3f}", file=out)
    print(f"  {'kind of request':<20}{'asked':>8}{'in time':>9}{'late':>7}{'refused':>9}{'failed':>8}"
          f"{'not owed':>10}{'worth':>7}", file=out)
    for kind, asked, in_time, late, refused, failed, not_owed, worth in class_rows(report):
        print(f"  {kind:<20}{asked:>8}{in_time:>9}{late:>7}{refused:>9}{failed:>8}{not_owed:>10}{worth:>7.3f}", file=out)
    for resource, amount, share in price_rows(report):
        print(f"  -{share:.4f}  {amount:g} {resource}", file=out)


def render_svg(name, report):
    """Returns an SVG bar chart of the requests in each window by outcome."""
    windows = report["windows"]
    largest = max((window["n"] for window in windows), default=0) or 1
    step = (WIDTH - 2 * MARGIN) / max(len(windows), 1)
    scale = (HEIGHT - 2 * MARGIN) / largest
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-family="sans-serif" font-size="11">',
             f'<text x="{MARGIN}" y="14">{name}: requests of each window by outcome, at most {largest}</text>']
    for index, window in enumerate(windows):
        top = HEIGHT - MARGIN
        for outcome, colour in OUTCOMES:
            height = window[outcome] * scale
            top -= height
            parts.append(f'<rect x="{MARGIN + index * step:.1f}" y="{top:.1f}" width="{step * 0.9:.1f}" '
                         f'height="{height:.1f}" fill="{colour}"/>')
        parts.append(f'<text x="{MARGIN + index * step:.1f}" y="{HEIGHT - MARGIN + 14}">{window["name"]}</text>')
    for index, (outcome, colour) in enumerate(OUTCOMES):
        parts.append(f'<text x="{MARGIN + 90 * index}" y="{HEIGHT - 6}" fill="{colour}">{outcome}</text>')
    return "\n".join(parts + ["</svg>\n"])


def play_day(bench, site, day, folder):
    """Plays a day on the bench and returns the path of its report."""
    report = pathlib.Path(folder) / f"{pathlib.Path(day).stem}.json"
    completed = subprocess.run([bench, "run", site, day, "--report", str(report)], capture_output=True, text=True,
                               timeout=DAY_TIMEOUT_S, check=False)
    if completed.returncode != 0 or not report.exists():
        output = (completed.stderr or completed.stdout).strip()[-500:]
        raise ValueError(f"{day}: the bench ended with {completed.returncode}: {output}")
    return report


def main(argv):
    parser = argparse.ArgumentParser(prog="scripts/days", description="Prints where the credit of played days goes.")
    parser.add_argument("--bench", help="path of the bench; days are played with it")
    parser.add_argument("--site", help="file of the deployment")
    parser.add_argument("--plot", metavar="DIR", help="writes a picture of each day into the folder")
    parser.add_argument("day", nargs="+", help="names of days or, without --bench, reports")
    options = parser.parse_args(argv)
    if bool(options.bench) != bool(options.site):
        parser.error("--bench and --site belong together")
    with tempfile.TemporaryDirectory() as folder:
        for day in options.day:
            try:
                path = play_day(options.bench, options.site, day, folder) if options.bench else day
                report = read_report(path)
                name = pathlib.Path(day).stem
                print_day(name, report)
            except (ValueError, OSError, subprocess.TimeoutExpired) as error:
                print(f"days: {error}", file=sys.stderr)
                return 1
            except (KeyError, TypeError) as error:
                print(f"days: {day}: unexpected structure of the report: {error!r}", file=sys.stderr)
                return 1
            if options.plot:
                plot_folder = pathlib.Path(options.plot)
                plot_folder.mkdir(parents=True, exist_ok=True)
                (plot_folder / f"{name}.svg").write_text(render_svg(name, report), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
