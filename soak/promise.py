"""Checks of a run: each returns what breaks a promise of the users' rules, as findings."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from soak.caller import KINDS, SECOND_KEY
from soak.record import Record, Run, Sent
from soak.upstream import EVENTS, build_body
from standin.entryupstream import format_event

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# A disturbance makes an instance lag for this long (`contactMs`).
CONTACT_S = 4.0
# A configuration is in force after this time (`convergeMs`).
CONVERGE_S = 3.0
# An upstream that leaves gets nothing after this time (`drainMs`).
DRAIN_S = 3.0
# A request that took longer than this beyond its deadline is late.
LATE_S = 0.5
GRACE_S = 6.0
# The runner itself may be held up.
SLACK_S = 0.5


@dataclass(frozen=True, slots=True)
class Finding:
    """Names a broken promise and the request or process that shows it."""

    promise: str
    subject: str
    detail: str


def check_run(record: Record, *, timed: bool) -> list[Finding]:
    """Return all findings of a run; without `timed` those that need no clock."""
    checks = [check_answers, check_runs, check_once, check_processes, check_recovery]
    if timed:
        checks += [check_clean_phase, check_deadlines, check_keys, check_drains, check_stops]
    findings: list[Finding] = []
    for check in checks:
        findings.extend(check(record))
    return findings


def group_runs(record: Record) -> dict[str, list[Run]]:
    """Return the runs by request."""
    found: dict[str, list[Run]] = defaultdict(list)
    for run in record.runs:
        found[run.id].append(run)
    return found


def check_answers(record: Record) -> list[Finding]:
    """Check that a success is one upstream's whole answer, and a stream has each event once."""
    runs = group_runs(record)
    findings = []
    for sent in record.sent:
        if sent.status != 200:
            continue
        ran_at = [run.upstream for run in runs[sent.id] if run.ran]
        if sent.kind in ("stream", "resume"):
            expected = b"".join(format_event(number) for number in range(EVENTS))
            right = sent.body == expected if sent.complete else expected.startswith(sent.body)
        else:
            whole = [build_body(sent.id, name) for name in ran_at]
            right = sent.body in whole if sent.complete else True
        if not right or not ran_at:
            findings.append(Finding("whole answers", sent.id, f"{sent.body[:200]!r} of {ran_at}"))
    return findings


def check_runs(record: Record) -> list[Finding]:
    """Check that upstreams get what callers sent, with the team and without the key."""
    sent_by_id = {sent.id: sent for sent in record.sent}
    findings = []
    for run in record.runs:
        sent = sent_by_id.get(run.id)
        if sent is None:
            findings.append(Finding("nothing unasked", run.id, "no caller sent it"))
            continue
        wrong = []
        if run.line != f"POST /{sent.kind}/x HTTP/1.1" or run.body != sent.id.encode():
            wrong.append(f"{run.line} {run.body[:80]!r}")
        if run.credentials:
            wrong.append("the caller's key was passed on")
        if run.team != ("second" if sent.key == SECOND_KEY else "yard"):
            wrong.append(f"team {run.team!r}")
        if run.expected != run.upstream and run.ran:
            wrong.append(f"meant for {run.expected!r}, run by {run.upstream!r}")
        for detail in wrong:
            findings.append(Finding("nothing unasked", run.id, detail))
    return findings


def check_once(record: Record) -> list[Finding]:
    """Check that an unsafe request runs once at most, and never if the answer denies it."""
    runs = group_runs(record)
    findings = []
    for sent in record.sent:
        ran = [run for run in runs[sent.id] if run.ran]
        once = sent.kind in ("unsafe", "stream")
        if once and len(ran) > 1:
            names = [run.upstream for run in ran]
            findings.append(Finding("runs once", sent.id, f"{sent.kind} ran at {names}"))
        if sent.status in NOT_RUN_STATUSES and ran:
            detail = f"{sent.kind} answered {sent.status} {sent.body!r} ran at {ran[0].upstream}"
            findings.append(Finding("not run is true", sent.id, detail))
    return findings


def check_processes(record: Record) -> list[Finding]:
    """Check that no process ends by itself."""
    return [Finding("processes live", "process", death) for death in record.deaths]


def check_recovery(record: Record) -> list[Finding]:
    """Check that some time after the last fault each kind is served at each instance."""
    findings = []
    for instance, kind in list_unserved(record):
        detail = f"no {kind} served at instance {instance}"
        findings.append(Finding("recovers", f"instance-{instance}", detail))
    return findings


def check_clean_phase(record: Record) -> list[Finding]:
    """Check that some time after the last fault every request is served by its deadline."""
    findings = []
    for sent in record.sent:
        if sent.sent_s < record.clean_from_s or sent.left:
            continue
        if sent.status == 200 and sent.complete:
            continue
        if record.is_disturbed(sent.instance, sent.sent_s - CONTACT_S, sent.ended_s):
            # All faults are over: the runner itself was held up.
            continue
        if sent.status == 401 and sent.key == SECOND_KEY:
            # check_keys tells whether that is right.
            continue
        detail = f"instance {sent.instance}: {sent.kind} {sent.status} {sent.body!r} {sent.error}"
        findings.append(Finding("recovers", sent.id, detail))
    return findings


def list_unserved(record: Record) -> list[tuple[int, str]]:
    """Return the instances and kinds of which no request of the clean phase was served."""
    instances = {sent.instance for sent in record.sent}
    unserved = {(instance, kind) for instance in instances for kind in KINDS}
    for sent in record.sent:
        if sent.sent_s >= record.clean_from_s and sent.status == 200 and sent.complete:
            unserved.discard((sent.instance, sent.kind))
    return sorted(unserved)


def check_deadlines(record: Record) -> list[Finding]:
    """Check that a final answer comes by the deadline."""
    findings = []
    for sent in record.sent:
        late_s = sent.ended_s - sent.deadline_s
        if sent.left or late_s <= LATE_S + SLACK_S or sent.ended_s == 0.0:
            continue
        if record.is_disturbed(sent.instance, sent.sent_s - SLACK_S, sent.ended_s):
            continue
        detail = f"{sent.kind} ended {late_s:.2f} s late: {sent.status} {sent.error}"
        findings.append(Finding("answers in time", sent.id, detail))
    return findings


def _list_undisturbed(record: Record, within_s: float) -> Iterable[Sent]:
    for sent in record.sent:
        if not record.is_disturbed(sent.instance, sent.sent_s - within_s, sent.ended_s):
            yield sent


def check_keys(record: Record) -> list[Finding]:
    """Check that a removed key is refused and a new one served, after the bound."""
    findings = []
    for sent in _list_undisturbed(record, CONTACT_S):
        if sent.key != SECOND_KEY:
            continue
        since_s, present = float("-inf"), False
        for change in record.key_changes:
            if change.at_s <= sent.ended_s:
                since_s, present = change.at_s, change.present
        if sent.sent_s < since_s + CONVERGE_S:
            continue
        if present and sent.status == 401:
            findings.append(Finding("configuration in force", sent.id, "a valid key got 401"))
        if not present and sent.status == 200:
            findings.append(Finding("configuration in force", sent.id, "a removed key was served"))
    return findings


def check_drains(record: Record) -> list[Finding]:
    """Check that an upstream that leaves gets no new request after the bound."""
    sent_by_id = {sent.id: sent for sent in record.sent}
    left_s = {leaving.upstream: leaving.at_s for leaving in record.leavings}
    findings = []
    for run in record.runs:
        sent = sent_by_id.get(run.id)
        if sent is None or not run.ran or run.upstream not in left_s:
            continue
        late_s = run.at_s - left_s[run.upstream] - DRAIN_S
        if late_s <= 0 or record.is_disturbed(sent.instance, run.at_s - CONTACT_S, run.at_s):
            continue
        detail = f"{run.upstream} got it {late_s:.2f} s after its time to drain"
        findings.append(Finding("drains", run.id, detail))
    return findings


def check_stops(record: Record) -> list[Finding]:
    """Check that a process that is told to stop ends in time and answers what it has read."""
    findings = []
    for stop in record.stops:
        if not record.is_calm(stop.began_s - CONTACT_S, stop.ended_s):
            continue
        took_s = stop.ended_s - stop.began_s
        if took_s > GRACE_S + SLACK_S or stop.code != 0:
            detail = f"ended after {took_s:.1f} s with {stop.code}"
            findings.append(Finding("stops", f"instance-{stop.instance}", detail))
        for sent in record.sent:
            if (sent.instance, sent.lifetime) != (stop.instance, stop.lifetime) or sent.left:
                continue
            # Later ones may cross the close of an idle connection.
            if not stop.began_s - SLACK_S < sent.sent_s < stop.began_s or sent.complete:
                continue
            findings.append(Finding("stops", sent.id, f"{sent.kind} was cut: {sent.error}"))
    return findings
