"""Evidence about parts of prompts as instances send it to each other, with times as ages."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from jayyoke.ops.partkeys import MAX_KEY_CHARACTERS
from jayyoke.ops.partrecord import MAX_ENDS_PER_PART, EngineEnd, PartEvidence
from jayyoke.ops.quarantine import KEPT_S
from jayyoke.wire.gen import ttypes

MAX_TOLD = 256
# Parts in a question, and in an answer beyond those that it is about. After a crash an instance may
# suspect hundreds, which would come with every message; an instance that knows none gets MAX_TOLD.
MAX_ADDED = 24
# Peers refuse messages over 16 KiB.
MAX_BATCH_BYTES = 12 << 10
MAX_ENGINE_CHARACTERS = 120
# Encoded size of a part and an end, without their texts.
PART_BYTES = 40
END_BYTES = 24


def split_evidence(evidence: Iterable[PartEvidence]) -> Iterator[list[PartEvidence]]:
    """Yield the evidence in batches, each of which fits into a message."""
    batch: list[PartEvidence] = []
    size = 0
    for found in evidence:
        found_size = _estimate_bytes(found)
        if batch and (size + found_size > MAX_BATCH_BYTES or len(batch) >= MAX_TOLD):
            yield batch
            batch, size = [], 0
        batch.append(found)
        size += found_size
    if batch:
        yield batch


def take_batch(evidence: Iterable[PartEvidence]) -> list[PartEvidence]:
    """Return the first part of the evidence that fits into a message."""
    return next(split_evidence(evidence), [])


def build_part_message(
    evidence: Iterable[PartEvidence], now_s: float, news: bool = False
) -> ttypes.PartEvidence:
    """Return the message with evidence; `news` is set if the sender asks for nothing else."""
    parts = []
    for found in evidence:
        ends = [ttypes.EngineEnd(end.engine, _find_age_ms(end.at_s, now_s)) for end in found.ends]
        good_age_ms = None if found.good_s is None else _find_age_ms(found.good_s, now_s)
        parts.append(ttypes.KnownPart(found.key, ends, good_age_ms))
    return ttypes.PartEvidence(parts, news=True if news else None)


def read_part_message(message: ttypes.PartEvidence, now_s: float) -> list[PartEvidence]:
    """Return a peer's evidence without its odd entries."""
    parts = [_read_part(part, now_s) for part in (message.parts or ())[:MAX_TOLD]]
    return [part for part in parts if part is not None]


def _read_part(part: ttypes.KnownPart, now_s: float) -> PartEvidence | None:
    if not part.key or len(part.key) > MAX_KEY_CHARACTERS:
        return None
    ends = []
    for end in (part.ends or ())[:MAX_ENDS_PER_PART]:
        if not end.engine or len(end.engine) > MAX_ENGINE_CHARACTERS or not _is_age(end.age_ms):
            continue
        ends.append(EngineEnd(end.engine, now_s - end.age_ms / 1000))
    good_s = now_s - part.good_age_ms / 1000 if _is_age(part.good_age_ms) else None
    return PartEvidence(part.key, tuple(ends), good_s)


def _find_age_ms(at_s: float, now_s: float) -> int:
    return max(0, min(int(KEPT_S * 1000), int((now_s - at_s) * 1000)))


def _is_age(age_ms: int | None) -> bool:
    return age_ms is not None and 0 <= age_ms <= KEPT_S * 1000


def _estimate_bytes(found: PartEvidence) -> int:
    size = PART_BYTES + len(found.key.encode("utf-8", "replace"))
    for end in found.ends:
        size += END_BYTES + len(end.engine.encode("utf-8", "replace"))
    return size
