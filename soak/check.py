"""Checks of a run: each returns findings, which are broken promises of the users' rules."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from soak.caller import KINDS, SECOND_KEY, STREAM_KINDS
from soak.record import Record, Run, Sent, Stop
from soak.upstream import EVENT_COUNT, build_body
from standin.entryupstream import format_event

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# After a disturbance an instance may lag for this long (`contactMs`).
DISTURBANCE_LAG_S = 4.0
# A written configuration is in force after this time (`convergeMs`).
CONVERGE_S = 3.0
# A draining upstream gets no new request after this time (`drainMs`).
DRAIN_S = 3.0
# An answer that ends more than this after its deadline is late.
DEADLINE_TOLERANCE_S = 0.5
STOP_GRACE_S = 6.0
# Instances end a request this long before its deadline.
EARLY_END_S = 0.05
# A request that was sent this soon after SIGTERM may be cut if an upstream is still at work on it
# in the last sixth of the grace.
SENT_EARLY_S = 3.0
LATE_GRACE_SHARE = 5 / 6
# So many requests with a part may reach upstreams later than DEADLY_LAG_S (`contactMs`) after so
# many upstreams have ended under it.
DEADLY_ENDS = 5
DEADLY_LAG_S = 3.0
DEADLY_ALLOWED = 3
# Allows for hold-ups of the runner itself.
SLACK_S = 0.5


@dataclass(frozen=True, slots=True)
class Finding:
    """Names a broken promise and the request or process that shows it."""

    promise: str
    subject: str
    detail: str


def check_record(record: Record, *, timed: bool) -> list[Finding]:
    """Return all findings of a run; without `timed` only those that need no clock."""
    checks = [check_answers, check_forwarding, check_at_most_once, check_processes, check_recovery]
    if timed:
        checks += [check_clean_phase, check_deadlines, check_keys, check_drains, check_stops]
        checks += [check_deadly_part, check_losses]
    findings: list[Finding] = []
    for check in checks:
        findings.extend(check(record))
    return findings


def group_runs_by_request(record: Record) -> dict[str, list[Run]]:
    """Return the runs of each request, by request id."""
    runs_by_id: dict[str, list[Run]] = defaultdict(list)
    for run in record.runs:
        runs_by_id[run.id].append(run)
    return runs_by_id


def check_answers(record: Record) -> list[Finding]:
    """Check that a success is one upstream's whole answer, and a stream has each event once."""
    runs = group_runs_by_request(record)
    findings = []
    for sent in record.sent:
        if sent.status != 200:
            continue
        executed_by = [run.upstream for run in runs[sent.id] if run.ran]
        if sent.kind in STREAM_KINDS:
            expected = b"".join(format_event(number) for number in range(EVENT_COUNT))
            matches = sent.body == expected if sent.complete else expected.startswith(sent.body)
        else:
            answers = [build_body(sent.id, name, big=sent.kind == "big") for name in executed_by]
            matches = sent.body in answers if sent.complete else True
        if not matches or not executed_by:
            findings.append(
                Finding("whole answers", sent.id, f"{sent.body[:200]!r} of {executed_by}")
            )
    return findings


def check_forwarding(record: Record) -> list[Finding]:
    """Check that upstreams get what callers sent, with the team's name and without the key."""
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


def check_at_most_once(record: Record) -> list[Finding]:
    """Check that unsafe requests run at most once, and that no request reported as not run ran."""
    runs = group_runs_by_request(record)
    findings = []
    for sent in record.sent:
        ran = [run for run in runs[sent.id] if run.ran]
        at_most_once = sent.kind in ("unsafe", "stream", "long")
        if at_most_once and len(ran) > 1:
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
    """Check that in the clean phase each instance serves each kind of request."""
    findings = []
    for instance, kind in list_unserved(record):
        detail = f"no {kind} served at instance {instance}"
        findings.append(Finding("recovers", f"instance-{instance}", detail))
    return findings


def check_clean_phase(record: Record) -> list[Finding]:
    """Check that every request of the clean phase is served."""
    findings = []
    for sent in record.sent:
        if not record.clean_from_s <= sent.sent_s < record.clean_until_s or sent.left:
            continue
        if sent.status == 200 and sent.complete:
            continue
        if record.is_disturbed(sent.instance, sent.sent_s - DISTURBANCE_LAG_S, sent.ended_s):
            # All faults have ended, so the runner itself was held up.
            continue
        if sent.status == 401 and sent.key == SECOND_KEY:
            # check_keys tells whether this refusal is right.
            continue
        detail = f"instance {sent.instance}: {sent.kind} {sent.status} {sent.body!r} {sent.error}"
        findings.append(Finding("recovers", sent.id, detail))
    return findings


def list_unserved(record: Record) -> list[tuple[int, str]]:
    """Return each instance and kind of request without a success in the clean phase."""
    instances = {sent.instance for sent in record.sent}
    unserved = {(instance, kind) for instance in instances for kind in KINDS}
    for sent in record.sent:
        if not record.clean_from_s <= sent.sent_s < record.clean_until_s:
            continue
        if sent.status == 200 and sent.complete:
            unserved.discard((sent.instance, sent.kind))
    return sorted(unserved)


def check_deadlines(record: Record) -> list[Finding]:
    """Check that answers end by the deadline."""
    findings = []
    for sent in record.sent:
        late_s = sent.ended_s - sent.deadline_s
        if sent.left or late_s <= DEADLINE_TOLERANCE_S + SLACK_S or sent.ended_s == 0.0:
            continue
        if record.is_disturbed(sent.instance, sent.sent_s - SLACK_S, sent.ended_s):
            continue
        detail = f"{sent.kind} ended {late_s:.2f} s late: {sent.status} {sent.error}"
        findings.append(Finding("answers in time", sent.id, detail))
    return findings


def _list_undisturbed(record: Record, margin_s: float) -> Iterable[Sent]:
    for sent in record.sent:
        if not record.is_disturbed(sent.instance, sent.sent_s - margin_s, sent.ended_s):
            yield sent


def check_keys(record: Record) -> list[Finding]:
    """Check that a removed key is refused and a new one accepted after CONVERGE_S."""
    findings = []
    for sent in _list_undisturbed(record, DISTURBANCE_LAG_S):
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
    """Check that a draining upstream gets no new request after DRAIN_S."""
    sent_by_id = {sent.id: sent for sent in record.sent}
    draining_from_s = {leaving.upstream: leaving.at_s for leaving in record.leavings}
    findings = []
    for run in record.runs:
        sent = sent_by_id.get(run.id)
        if sent is None or not run.ran or run.upstream not in draining_from_s:
            continue
        late_s = run.at_s - draining_from_s[run.upstream] - DRAIN_S
        if late_s <= 0 or record.is_disturbed(
            sent.instance, run.at_s - DISTURBANCE_LAG_S, run.at_s
        ):
            continue
        detail = f"{run.upstream} got the request {late_s:.2f} s after its drain time ended"
        findings.append(Finding("drains", run.id, detail))
    return findings


def check_stops(record: Record) -> list[Finding]:
    """Check that after SIGTERM a process ends in time and answers the requests it has read."""
    findings = []
    for stop in record.stops:
        if not record.is_undisturbed(stop.began_s - DISTURBANCE_LAG_S, stop.ended_s):
            continue
        took_s = stop.ended_s - stop.began_s
        if took_s > STOP_GRACE_S + SLACK_S or stop.code != 0:
            detail = f"ended after {took_s:.1f} s with {stop.code}"
            findings.append(Finding("stops", f"instance-{stop.instance}", detail))
        for sent in record.sent:
            if (sent.instance, sent.lifetime) != (stop.instance, stop.lifetime) or sent.left:
                continue
            if sent.kind not in KINDS:
                # check_losses tells which of the requests that last may be cut.
                continue
            # Later requests may arrive while the instance closes an idle connection.
            if not stop.began_s - SLACK_S < sent.sent_s < stop.began_s or sent.complete:
                continue
            findings.append(Finding("stops", sent.id, f"{sent.kind} was cut: {sent.error}"))
    return findings


def check_losses(record: Record) -> list[Finding]:
    """Check that requests that were passed on around a stop get their whole answer."""
    runs = group_runs_by_request(record)
    findings = []
    for stop in record.stops:
        for sent in record.sent:
            if (sent.instance, sent.lifetime) != (stop.instance, stop.lifetime) or sent.left:
                continue
            ran = [run for run in runs[sent.id] if run.ran]
            if sent.complete or not ran or sent.ended_s < stop.began_s:
                continue
            if not record.is_undisturbed(sent.sent_s - DISTURBANCE_LAG_S, sent.ended_s):
                continue
            if sent.ended_s >= sent.deadline_s - EARLY_END_S or _may_cut(sent, ran, stop):
                continue
            detail = f"{sent.kind} {sent.ended_s - stop.began_s:.2f} s after SIGTERM: {sent.error}"
            findings.append(Finding("loses nothing", sent.id, detail))
    return findings


def _may_cut(sent: Sent, ran: list[Run], stop: Stop) -> bool:
    """Tell whether an upstream was at work late in the grace on a request that was sent early."""
    if max(sent.sent_s, sent.whole_s) > stop.began_s + SENT_EARLY_S:
        return False
    at_work_until_s = min(sent.ended_s, max(run.ended_s for run in ran))
    return at_work_until_s >= stop.began_s + LATE_GRACE_SHARE * STOP_GRACE_S


def check_deadly_part(record: Record) -> list[Finding]:
    """Check that a part under which upstreams ended reaches few more of them."""
    if len(record.ends_s) < DEADLY_ENDS:
        return []
    from_s = sorted(record.ends_s)[DEADLY_ENDS - 1] + DEADLY_LAG_S
    deadly = {sent.id: sent for sent in record.sent if sent.deadly}
    late = []
    for run in record.runs:
        sent = deadly.get(run.id)
        if sent is None or run.at_s <= from_s:
            continue
        if record.is_disturbed(sent.instance, run.at_s - DISTURBANCE_LAG_S, run.at_s):
            continue
        late.append(run.id)
    if len(late) <= DEADLY_ALLOWED:
        return []
    detail = f"{len(late)} more requests reached upstreams; {len(record.ends_s)} ends"
    return [Finding("deadly part", late[0], detail)]
