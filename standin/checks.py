"""Compares what the demo observed with the promises of docs/design.md, one row for each."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from standin.calls import Call
from standin.observe import read_arrivals
from standin.steps import GOOD_DEADLINE_S, Demo, Observations, read_cold_peaks, read_runs

LOAD_BOUND = 1.25
LAST_REQUEST_LIMIT_S = 3.0
BAD_VERSION_STOP_LIMIT_S = 5.0
MAX_BAD_VERSION_SHARE = 0.02
IN_FORCE_LIMIT_S = 9.0
MIN_REUSE_SHARE = 0.95
MIN_ANSWERED_SHARE = 0.999
CHAT_TARGET_S = 30.0
LOOKUP_TARGET_S = 1.0
VERDICTS = {True: "held", False: "BROKEN", None: "measured"}


@dataclass(frozen=True, slots=True)
class Row:
    """Compares an observation with what must hold; `held` is None for a measurement only."""

    promise: str
    observed: str
    expected: str
    held: bool | None


async def check_all(demo: Demo) -> list[Row]:
    """Return the rows of the table."""
    observed, calls = demo.observed, demo.callers.calls
    runs = await read_runs(demo.fleet)
    peaks = await read_cold_peaks(demo.fleet)
    arrival_times = await _read_arrival_times(demo)
    return [
        check_load_bound(observed),
        check_slow_start(peaks),
        check_domain_out(observed),
        check_bad_version_share(observed),
        check_complete_answers(calls),
        check_refusals(calls, arrival_times),
        check_at_most_once(observed, runs),
        check_leaving_upstreams(observed),
        check_shutdown(observed, calls),
        check_configuration_change(observed),
        measure_reuse([call for call in calls if _is_in_surge(observed, call)], "team surging"),
        measure_reuse(calls, "engines restarted and moved"),
        check_served_during_domain_out(observed, calls),
        check_good_version(observed),
        check_bad_version(observed),
        check_outage_chats(observed, calls),
        check_outage_once(observed, arrival_times),
        check_tags(observed, runs),
        check_late_replies(observed),
    ]


async def _read_arrival_times(demo: Demo) -> dict[str, list[float]]:
    arrival_times: dict[str, list[float]] = {}
    for upstream in demo.fleet.engines + demo.fleet.plain_upstreams:
        for arrival in await read_arrivals(demo.fleet, upstream):
            arrival_times.setdefault(arrival.request_id, []).append(arrival.at_s)
    return arrival_times


def check_load_bound(observed: Observations) -> Row:
    """Compare the most loaded engine with the mean while a team surges."""
    skew = observed.skew
    highest, mean = skew.highest_and_mean_load
    text = (
        f"{skew.windows_within_bound} of {skew.window_count} windows within; "
        f"highest {highest:.1f} at mean {mean:.1f} ({skew.highest_ratio:.2f}x)"
    )
    held = skew.window_count > 0 and skew.windows_within_bound == skew.window_count
    expected = f"at most {LOAD_BOUND} x mean, rounded up"
    return Row("P1 no overloaded engine", text, expected, held)


def check_slow_start(peaks: dict[str, float]) -> Row:
    """Compare the work on cold engines with their capacity at that age."""
    name = max(peaks, key=peaks.get)
    text = f"most {peaks[name]:.2f} of what a cold engine can take ({name})"
    # A peak of 0 means that no cold engine got work, so the row must not hold.
    return Row("P2 slow start", text, "above 0, at most 1.0", 0 < peaks[name] <= 1.0)


def check_domain_out(observed: Observations) -> Row:
    """Check when the last new request reached a domain that was taken out."""
    text = f"last new request after {observed.domain_last_arrival_s:.2f} s"
    return Row(
        "P3 domain out",
        text,
        f"within {LAST_REQUEST_LIMIT_S:g} s",
        observed.domain_last_arrival_s <= LAST_REQUEST_LIMIT_S,
    )


def check_bad_version_share(observed: Observations) -> Row:
    """Check what share of the chats a bad version got and for how long."""
    text = (
        f"{observed.bad_version_chats} of {observed.chats_during_bad_move} chats "
        f"({observed.bad_version_share:.3f}); "
        f"none {observed.bad_version_last_arrival_s:.1f} s after the first failure"
    )
    held = (
        observed.bad_version_ran
        and observed.bad_version_share <= MAX_BAD_VERSION_SHARE
        and observed.bad_version_last_arrival_s <= BAD_VERSION_STOP_LIMIT_S
    )
    expected = f"at most {MAX_BAD_VERSION_SHARE}, {BAD_VERSION_STOP_LIMIT_S:g} s"
    return Row("P4 bad version, platform down", text, expected, held)


def check_complete_answers(calls: list[Call]) -> Row:
    """Check that each answer is complete and belongs to its request."""
    answered = [call for call in calls if call.status in (200, 202)]
    wrong = [call for call in answered if not call.complete]
    disconnected = [call for call in calls if call.connection_error]
    text = f"{len(answered)} answers, {len(wrong)} not whole, {len(disconnected)} broken"
    return Row("P5 whole answers", text, "0 and 0", not wrong and not disconnected)


def check_refusals(calls: list[Call], arrival_times: dict[str, list[float]]) -> Row:
    """Check that no call refused as not run reached an upstream."""
    claimed = [call for call in calls if call.run_state == "not-run"]
    false_claims = [call for call in claimed if call.request_id in arrival_times]
    codes = ", ".join(f"{count} {code}" for code, count in _count_codes(claimed))
    text = f"{len(false_claims)} false of {len(claimed)} ({codes or 'no refusals'})"
    return Row("P6 not-run is true", text, "0 false", not false_claims)


def check_at_most_once(observed: Observations, runs: Counter[str]) -> Row:
    """Check that no key ran twice, and that each answered key ran."""
    twice = [key for key in observed.once_calls_by_key if runs[key] > 1]
    missing = []
    differing = []
    for key, calls in observed.once_calls_by_key.items():
        answers = {call.body for call in calls if call.status == 200}
        if answers and runs[key] != 1:
            missing.append(key)
        if len(answers) > 1:
            differing.append(key)
    count = sum(len(calls) for calls in observed.once_calls_by_key.values())
    text = f"{count} calls of {len(observed.once_calls_by_key)} keys: {len(twice)} ran twice"
    if missing or differing:
        text += f", {len(missing)} not run, {len(differing)} differing"
    return Row("P7 at most once", text, "0 ran twice", not (twice or missing or differing))


def check_leaving_upstreams(observed: Observations) -> Row:
    """Check when the last new request reached the upstreams that left."""
    text = f"last new request after {observed.leaving_last_arrival_s:.2f} s"
    held = observed.leaving_last_arrival_s <= LAST_REQUEST_LIMIT_S
    return Row("P8 leaving upstreams", text, f"within {LAST_REQUEST_LIMIT_S:g} s", held)


def check_shutdown(observed: Observations, calls: list[Call]) -> Row:
    """Check that a graceful shutdown cut no request."""
    name, code = observed.stopped_instance
    own = [call for call in calls if call.instance == name]
    cut = [call for call in own if call.connection_error]
    text = f"exit code {code}, {len(cut)} of {len(own)} calls cut"
    return Row("P9 graceful shutdown", text, "0, 0 cut", code == 0 and not cut)


def check_configuration_change(observed: Observations) -> Row:
    """Check when a change was in force at every instance and that none was reverted."""
    text = f"{observed.in_force_s:.2f} s, {len(observed.reverts)} reverted"
    held = observed.in_force_s <= IN_FORCE_LIMIT_S and not observed.reverts
    return Row("P10 change in force at all", text, f"{IN_FORCE_LIMIT_S:g} s, 0", held)


def measure_reuse(calls: list[Call], period: str) -> Row:
    """Compare the cached tokens with those that the same chat sent before.

    All of them is the most that any placement can reuse; `make bench` compares with an oracle.
    """
    returned = [
        call for call in calls if call.kind == "chat" and call.complete and call.reusable_tokens
    ]
    reusable = sum(call.reusable_tokens for call in returned)
    share = sum(min(call.cached_tokens, call.reusable_tokens) for call in returned) / max(
        1, reusable
    )
    text = f"{share:.3f} of the tokens of {len(returned)} returns"
    return Row(f"cache reuse, {period}", text, "no oracle here", None)


def _is_in_surge(observed: Observations, call: Call) -> bool:
    began_s, ended_s = observed.surge_period
    return began_s <= call.started_s <= ended_s


def check_served_during_domain_out(observed: Observations, calls: list[Call]) -> Row:
    """Check that callers are served while a domain is taken out, is out and comes back."""
    began_s, ended_s = observed.domain_out_period
    served = [call for call in calls if began_s <= call.started_s <= ended_s]
    good = [call for call in served if _is_in_time(call)]
    share = len(good) / max(1, len(served))
    text = f"{len(good)} of {len(served)} calls ({share:.4f})"
    return Row(
        "callers served, domain out and back",
        text,
        f"{MIN_ANSWERED_SHARE}",
        share >= MIN_ANSWERED_SHARE,
    )


def _is_in_time(call: Call) -> bool:
    within_s = CHAT_TARGET_S if call.kind == "chat" else LOOKUP_TARGET_S
    return call.complete and call.took_s <= within_s


def check_good_version(observed: Observations) -> Row:
    """Check that a good version is done by its deadline."""
    text = (
        f"{observed.good_move.get('state')} after {observed.good_move_s:.1f} s "
        f"{observed.good_move.get('reason', '')}"
    )
    held = observed.good_move.get("state") == "done" and observed.good_move_s <= GOOD_DEADLINE_S
    return Row("good version", text.strip(), f"done in {GOOD_DEADLINE_S:g} s", held)


def check_bad_version(observed: Observations) -> Row:
    """Check that a bad version is rolled back."""
    state = str(observed.bad_move.get("state"))
    return Row("bad version", state, "taken-back", state == "taken-back")


def check_outage_chats(observed: Observations, calls: list[Call]) -> Row:
    """Check that chats and lookups are answered while the platform is down."""
    began_s, ended_s = observed.outage_period
    served = [
        call
        for call in calls
        if call.kind in ("chat", "lookup") and began_s <= call.started_s <= ended_s
    ]
    complete = [call for call in served if call.complete]
    text = f"{len(complete)} of {len(served)} chats and lookups answered"
    held = bool(served) and len(complete) == len(served)
    return Row("platform down: calls go on", text, "all", held)


def check_outage_once(observed: Observations, arrival_times: dict[str, list[float]]) -> Row:
    """Check that once-only calls are refused as not run while no claim can be written."""
    calls = observed.outage_once_calls
    refused = [
        call
        for call in calls
        if call.run_state == "not-run" and call.request_id not in arrival_times
    ]
    text = f"{len(refused)} of {len(calls)} refused as not run"
    held = bool(calls) and len(refused) == len(calls)
    return Row("platform down: once-only", text, "all, none ran", held)


def check_tags(observed: Observations, runs: Counter[str]) -> Row:
    """Check that each acknowledged tag reached the service."""
    kept = [key for key, call in observed.tag_calls_by_key.items() if call.status == 202]
    lost = [key for key in kept if not runs[key]]
    text = f"{len(kept)} acknowledged, {len(lost)} lost"
    return Row("tags survive", text, "0 lost", bool(kept) and not lost)


def check_late_replies(observed: Observations) -> Row:
    """Check that late replies can be fetched from another instance."""
    complete = sum(1 for _, good in observed.late_replies if good)
    text = f"{complete} of {len(observed.late_replies)} fetched from another instance"
    return Row(
        "late replies arrive",
        text,
        "all",
        bool(observed.late_replies) and complete == len(observed.late_replies),
    )


def _count_codes(calls: Iterable[Call]) -> list[tuple[str, int]]:
    return sorted(Counter(call.code for call in calls).items())


def format_rows(rows: list[Row]) -> str:
    """Return the table as text."""
    head = ("promise", "seen", "must hold", "")
    lines = [head]
    for row in rows:
        lines.append((row.promise, row.observed, row.expected, VERDICTS[row.held]))
    widths = [max(len(line[column]) for line in lines) for column in range(4)]
    texts = []
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        texts.append("  ".join(cells).rstrip())
    return "\n".join(texts)
