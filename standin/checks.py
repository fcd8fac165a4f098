"""Turns what the demo saw into one row for each promise of docs/design.md."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from standin.calls import Call
from standin.observe import read_arrivals
from standin.steps import GOOD_DEADLINE_S, Demo, Seen, read_cold_peaks, read_runs

LOAD_BOUND = 1.25
OUT_LIMIT_S = 3.0
STOP_LIMIT_S = 5.0
BAD_SHARE = 0.02
IN_FORCE_LIMIT_S = 9.0
REUSE_SHARE = 0.95
ANSWERED_SHARE = 0.999
CHAT_WITHIN_S = 30.0
LOOKUP_WITHIN_S = 1.0
VERDICTS = {True: "held", False: "BROKEN", None: "measured"}


@dataclass(frozen=True, slots=True)
class Row:
    """Compares what was seen with what must hold; `held` is None for a mere measurement."""

    promise: str
    seen: str
    expected: str
    held: bool | None


async def check_all(demo: Demo) -> list[Row]:
    """Return the rows of the table."""
    seen, calls = demo.seen, demo.callers.calls
    runs = await read_runs(demo.fleet)
    peaks = await read_cold_peaks(demo.fleet)
    reached = await _read_reached(demo)
    return [
        check_load(seen),
        check_cold(peaks),
        check_domain(seen),
        check_bad_share(seen),
        check_whole(calls),
        check_refusals(calls, reached),
        check_once(seen, runs),
        check_leaving(seen),
        check_shutdown(seen, calls),
        check_configuration(seen),
        measure_reuse([call for call in calls if _is_steady(seen, call)], "team surging"),
        measure_reuse(calls, "engines restarted and moved"),
        check_answered(seen, calls),
        check_good(seen),
        check_bad(seen),
        check_outage_chats(seen, calls),
        check_outage_once(seen, reached),
        check_tags(seen, runs),
        check_late(seen),
    ]


async def _read_reached(demo: Demo) -> dict[str, list[float]]:
    reached: dict[str, list[float]] = {}
    for upstream in demo.fleet.engines + demo.fleet.plains:
        for arrival in await read_arrivals(demo.fleet, upstream):
            reached.setdefault(arrival.request_id, []).append(arrival.at_s)
    return reached


def check_load(seen: Seen) -> Row:
    """Compare the most loaded engine with the mean while a team surges."""
    skew = seen.skew
    highest, mean = skew.at_highest
    text = (
        f"{skew.within_bound} of {skew.windows} windows within; "
        f"highest {highest:.1f} at mean {mean:.1f} ({skew.highest_ratio:.2f}x)"
    )
    held = skew.windows > 0 and skew.within_bound == skew.windows
    expected = f"at most {LOAD_BOUND} x mean, rounded up"
    return Row("P1 no overloaded engine", text, expected, held)


def check_cold(peaks: dict[str, float]) -> Row:
    """Compare the work on cold engines with what they could bear."""
    name = max(peaks, key=peaks.get)
    text = f"most {peaks[name]:.2f} of what it bears ({name})"
    # A peak of 0 means that no cold engine got work, which shows nothing.
    return Row("P2 slow start", text, "above 0, at most 1.0", 0 < peaks[name] <= 1.0)


def check_domain(seen: Seen) -> Row:
    """Check when the last new request reached a domain that was taken out."""
    text = f"last new request after {seen.out_last_s:.2f} s"
    return Row("P3 domain out", text, f"within {OUT_LIMIT_S:g} s", seen.out_last_s <= OUT_LIMIT_S)


def check_bad_share(seen: Seen) -> Row:
    """Check how much traffic a bad version got."""
    text = (
        f"{seen.bad_callers} of {seen.bad_chats} chats ({seen.bad_share:.3f}); "
        f"none {seen.bad_last_s:.1f} s after the first sign"
    )
    held = seen.bad_seen and seen.bad_share <= BAD_SHARE and seen.bad_last_s <= STOP_LIMIT_S
    expected = f"at most {BAD_SHARE}, {STOP_LIMIT_S:g} s"
    return Row("P4 bad version, platform down", text, expected, held)


def check_whole(calls: list[Call]) -> Row:
    """Check that each answer is the complete one to its own request."""
    answered = [call for call in calls if call.status in (200, 202)]
    wrong = [call for call in answered if not call.whole]
    broken = [call for call in calls if call.broken]
    text = f"{len(answered)} answers, {len(wrong)} not whole, {len(broken)} broken"
    return Row("P5 whole answers", text, "0 and 0", not wrong and not broken)


def check_refusals(calls: list[Call], reached: dict[str, list[float]]) -> Row:
    """Check that no call refused as not run reached an upstream."""
    claimed = [call for call in calls if call.run == "not-run"]
    false = [call for call in claimed if call.request_id in reached]
    codes = ", ".join(f"{count} {code}" for code, count in _count_codes(claimed))
    text = f"{len(false)} false of {len(claimed)} ({codes or 'no refusals'})"
    return Row("P6 not-run is true", text, "0 false", not false)


def check_once(seen: Seen, runs: Counter[str]) -> Row:
    """Check that no key ran twice, and that each answered key ran."""
    twice = [key for key in seen.once_keys if runs[key] > 1]
    missing = []
    differing = []
    for key, calls in seen.once_keys.items():
        answers = {call.body for call in calls if call.status == 200}
        if answers and runs[key] != 1:
            missing.append(key)
        if len(answers) > 1:
            differing.append(key)
    count = sum(len(calls) for calls in seen.once_keys.values())
    text = f"{count} calls of {len(seen.once_keys)} keys: {len(twice)} ran twice"
    if missing or differing:
        text += f", {len(missing)} not run, {len(differing)} differing"
    return Row("P7 at most once", text, "0 ran twice", not (twice or missing or differing))


def check_leaving(seen: Seen) -> Row:
    """Check when the last new request reached the upstreams that left."""
    text = f"last new request after {seen.leaving_last_s:.2f} s"
    held = seen.leaving_last_s <= OUT_LIMIT_S
    return Row("P8 leaving upstreams", text, f"within {OUT_LIMIT_S:g} s", held)


def check_shutdown(seen: Seen, calls: list[Call]) -> Row:
    """Check that a graceful shutdown cut no request."""
    name, code = seen.stopped
    own = [call for call in calls if call.instance == name]
    cut = [call for call in own if call.broken]
    text = f"exit code {code}, {len(cut)} of {len(own)} calls cut"
    return Row("P9 graceful shutdown", text, "0, 0 cut", code == 0 and not cut)


def check_configuration(seen: Seen) -> Row:
    """Check when a change was in force everywhere and that none was reverted."""
    text = f"{seen.in_force_s:.2f} s, {len(seen.reverts)} reverted"
    held = seen.in_force_s <= IN_FORCE_LIMIT_S and not seen.reverts
    return Row("P10 change in force at all", text, f"{IN_FORCE_LIMIT_S:g} s, 0", held)


def measure_reuse(calls: list[Call], period: str) -> Row:
    """Compare the cached tokens with those that the same chat sent before.

    A decider with perfect knowledge reuses at most all of them; `make bench` compares with one.
    """
    returned = [call for call in calls if call.kind == "chat" and call.whole and call.reusable]
    reusable = sum(call.reusable for call in returned)
    share = sum(min(call.cached, call.reusable) for call in returned) / max(1, reusable)
    text = f"{share:.3f} of the tokens of {len(returned)} returns"
    return Row(f"cache reuse, {period}", text, "no oracle here", None)


def _is_steady(seen: Seen, call: Call) -> bool:
    began_s, ended_s = seen.steady
    return began_s <= call.started_s <= ended_s


def check_answered(seen: Seen, calls: list[Call]) -> Row:
    """Check that callers are served while a domain leaves, is gone and returns."""
    began_s, ended_s = seen.out_period
    served = [call for call in calls if began_s <= call.started_s <= ended_s]
    good = [call for call in served if _is_in_time(call)]
    share = len(good) / max(1, len(served))
    text = f"{len(good)} of {len(served)} calls ({share:.4f})"
    return Row(
        "callers served, domain out and back", text, f"{ANSWERED_SHARE}", share >= ANSWERED_SHARE
    )


def _is_in_time(call: Call) -> bool:
    within_s = CHAT_WITHIN_S if call.kind == "chat" else LOOKUP_WITHIN_S
    return call.whole and call.took_s <= within_s


def check_good(seen: Seen) -> Row:
    """Check that a good version is done by its deadline."""
    text = f"{seen.good.get('state')} after {seen.good_s:.1f} s {seen.good.get('reason', '')}"
    held = seen.good.get("state") == "done" and seen.good_s <= GOOD_DEADLINE_S
    return Row("good version", text.strip(), f"done in {GOOD_DEADLINE_S:g} s", held)


def check_bad(seen: Seen) -> Row:
    """Check that a bad version is taken back."""
    state = str(seen.bad.get("state"))
    return Row("bad version", state, "taken-back", state == "taken-back")


def check_outage_chats(seen: Seen, calls: list[Call]) -> Row:
    """Check that chats and lookups go on while the platform is down."""
    began_s, ended_s = seen.outage
    served = [
        call
        for call in calls
        if call.kind in ("chat", "lookup") and began_s <= call.started_s <= ended_s
    ]
    whole = [call for call in served if call.whole]
    text = f"{len(whole)} of {len(served)} chats and lookups answered"
    held = bool(served) and len(whole) == len(served)
    return Row("platform down: calls go on", text, "all", held)


def check_outage_once(seen: Seen, reached: dict[str, list[float]]) -> Row:
    """Check that once-only calls are refused as not run while no claim can be written."""
    calls = seen.outage_once
    refused = [call for call in calls if call.run == "not-run" and call.request_id not in reached]
    text = f"{len(refused)} of {len(calls)} refused as not run"
    held = bool(calls) and len(refused) == len(calls)
    return Row("platform down: once-only", text, "all, none ran", held)


def check_tags(seen: Seen, runs: Counter[str]) -> Row:
    """Check that each acknowledged tag reached the service."""
    kept = [key for key, call in seen.tag_keys.items() if call.status == 202]
    lost = [key for key in kept if not runs[key]]
    text = f"{len(kept)} acknowledged, {len(lost)} lost"
    return Row("tags survive", text, "0 lost", bool(kept) and not lost)


def check_late(seen: Seen) -> Row:
    """Check that late replies can be fetched from another instance."""
    whole = sum(1 for _, good in seen.late if good)
    text = f"{whole} of {len(seen.late)} fetched from another instance"
    return Row("late replies arrive", text, "all", bool(seen.late) and whole == len(seen.late))


def _count_codes(calls: Iterable[Call]) -> list[tuple[str, int]]:
    return sorted(Counter(call.code for call in calls).items())


def format_rows(rows: list[Row]) -> str:
    """Return the table as text."""
    head = ("promise", "seen", "must hold", "")
    lines = [head]
    for row in rows:
        lines.append((row.promise, row.seen, row.expected, VERDICTS[row.held]))
    widths = [max(len(line[column]) for line in lines) for column in range(4)]
    texts = []
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        texts.append("  ".join(cells).rstrip())
    return "\n".join(texts)
