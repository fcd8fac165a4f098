"""Parts of a chat's prompt, which are its messages."""

from __future__ import annotations

import json

from jayyoke.core.request import CallerRequest
from jayyoke.ops.partkeys import build_part_keys
from jayyoke.utils.jsontext import parse_json
from jayyoke.utils.sha import hash_text

DIGEST_CHARACTERS = 32


def find_part_keys(request: CallerRequest) -> tuple[str, ...]:
    """Return the keys of the messages of a chat request, or none if the body has no messages.

    The last message counts too: a caller that comes back sends the same one.
    """
    try:
        messages = parse_json(request.body)["messages"]
        texts = [json.dumps(message, sort_keys=True) for message in messages]
    except (ValueError, TypeError, KeyError, RecursionError):
        return ()
    digests = [hash_text(text)[:DIGEST_CHARACTERS] for text in texts]
    return build_part_keys(request.service.name, digests)
