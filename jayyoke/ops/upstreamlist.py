"""The list of upstreams, as instances send it to peers that cannot read the platform's list."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.wire.gen.ttypes import ListedUpstream, Upstreams

# Ten times the upstreams of the largest planned domain; a frame holds about 40,000.
MAX_UPSTREAMS = 10_000
MAX_FIELD_CHARACTERS = 255


def hash_upstreams(upstreams: Iterable[Upstream]) -> int:
    """Return a 63-bit digest of a list sorted by name; never 0."""
    digest = xxhash.xxh3_64()
    for upstream in upstreams:
        state = upstream.state.value
        fields = (upstream.name, upstream.service, upstream.domain, upstream.address, state)
        for field in fields:
            digest.update(f"{len(field)}:{field}".encode("utf-8", "surrogatepass"))
    return digest.intdigest() >> 1 | 1


def format_upstreams(upstreams: Iterable[Upstream]) -> list[ListedUpstream]:
    """Return the upstreams as entries of a message."""
    found = []
    for upstream in upstreams:
        leaving = upstream.state is UpstreamState.LEAVING
        found.append(
            ListedUpstream(
                upstream.name, upstream.service, upstream.domain, upstream.address, leaving
            )
        )
    return found


def parse_upstreams(message: Upstreams) -> list[Upstream] | None:
    """Return the usable upstreams of a message, sorted by name, or None if there are too many."""
    entries = message.upstreams or []
    if len(entries) > MAX_UPSTREAMS:
        return None
    found = {}
    for entry in entries:
        fields = (entry.name, entry.service_name, entry.domain, entry.address)
        if not all(field and len(field) <= MAX_FIELD_CHARACTERS for field in fields):
            continue
        state = UpstreamState.LEAVING if entry.leaving else UpstreamState.LIVE
        found[entry.name] = Upstream(*fields, state)
    return [found[name] for name in sorted(found)]
