"""Exception hierarchy of jayyoke; each error carries what its handler needs."""

from __future__ import annotations

import enum
from collections.abc import Sequence

from jayyoke.core.finding import Finding


class JayyokeError(Exception):
    """Base of every error that jayyoke raises itself."""


class InvalidDocument(JayyokeError):
    """Reports every finding of a settings or configuration document."""

    def __init__(self, findings: Sequence[Finding]):
        self.findings = tuple(sorted(findings, key=lambda finding: finding.line))
        super().__init__("\n".join(str(finding) for finding in self.findings))


class PlatformError(JayyokeError):
    """Base of errors of the platform's services."""


class Effect(enum.Enum):
    """What is known about the effect of a write whose answer did not arrive."""

    NONE = "none"
    UNKNOWN = "unknown"


class StoreUnavailable(PlatformError):
    """Reports that the table, the object store or the instance list could not serve a call."""

    def __init__(self, detail: str, effect: Effect = Effect.NONE):
        super().__init__(detail)
        self.effect = effect


class DutyCallFailed(PlatformError):
    """Reports that the service of the duties gave no answer; the call may have taken effect.

    `begun` is False only if no byte of the call was sent.
    """

    def __init__(self, detail: str, begun: bool = True):
        super().__init__(detail)
        self.begun = begun


class Conflict(PlatformError):
    """Reports which puts of a commit had a condition that did not hold; nothing was written."""

    def __init__(self, indexes: Sequence[int]):
        super().__init__(f"conditions of puts {list(indexes)} do not hold")
        self.indexes = tuple(indexes)


class PeerError(JayyokeError):
    """Base of errors between instances."""


class PeerUnavailable(PeerError):
    """Reports that a peer could not be reached or did not answer in time.

    `sent` is False only if it is certain that the peer did not receive the message.
    """

    def __init__(self, detail: str, sent: bool = True):
        super().__init__(detail)
        self.sent = sent


class PeerProtocolError(PeerError):
    """Reports a malformed, unauthenticated or outdated message."""


class HandshakeCut(PeerProtocolError):
    """Reports that a connection accepted by a reachable peer ended during the handshake."""


class UpstreamError(JayyokeError):
    """Base of errors of an upstream call."""


class ConnectFailed(UpstreamError):
    """Reports that no byte of the request was sent."""


class ConnectTimedOut(ConnectFailed):
    """Reports that a connection was neither accepted nor refused in time."""


class AnswerBroken(UpstreamError):
    """Reports an answer that was truncated, stalled or timed out; the request may have run."""


class PathLost(AnswerBroken):
    """Reports that the upstream's host acknowledges no data; the request may have run."""


class StreamCut(AnswerBroken):
    """Reports that the connection of a running stream ended before the answer did."""


class AnswerMismatched(UpstreamError):
    """Reports an answer that carries another request's id."""


class RunState(enum.Enum):
    """Whether a refused request ran; the values of the Jayyoke-Run header."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Refusal(JayyokeError):
    """Refuses a request; becomes a problem document at the callers' interface.

    `retry_after_s` is in seconds; None omits the Retry-After header.
    """

    def __init__(
        self,
        status: int,
        code: str,
        detail: str,
        run_state: RunState,
        retry_after_s: float | None = None,
    ):
        super().__init__(f"{code}: {detail}")
        self.status = status
        self.code = code
        self.detail = detail
        self.run_state = run_state
        self.retry_after_s = retry_after_s
