"""Rules of the proxies that cause the troubles of a plan."""

from __future__ import annotations

from soak.plan import Trouble
from standin.proxy import Rules

MAX_JITTER_S = 0.3


def build_rules(trouble: Trouble) -> Rules:
    """Return the proxy rules that cause a trouble on a link."""
    match trouble:
        case Trouble.DELAY:
            return Rules(delay_s=0.02, jitter_s=MAX_JITTER_S)
        case Trouble.RESET:
            return Rules(drop_connections=True)
        case Trouble.SILENT:
            return Rules(silence=True)
        case Trouble.ONE_WAY:
            return Rules(silence_answers=True)
        case Trouble.OLD_SILENT:
            return Rules(silence_old_only=True)
        case Trouble.BREAKS:
            return Rules(break_share=0.2)
        case Trouble.REFUSED:
            return Rules(refuse=True)
