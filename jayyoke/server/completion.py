"""Chat-completion requests: checks their fields and prepares the body for engines."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from jayyoke.core.code import FIELD_INVALID, MALFORMED_REQUEST, refuse
from jayyoke.core.error import Refusal
from jayyoke.utils.jsontext import parse_json
from jayyoke.utils.sha import hash_text

DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 1 << 20
MAX_MESSAGES = 4096
MAX_CHAT_KEY_CHARACTERS = 512
# A rough average over languages; engines report the true count in their usage numbers.
BYTES_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class Completion:
    """Holds a checked request; `output_tokens` is the caller's limit or the default."""

    document: dict[str, Any]
    model: str
    stream: bool
    include_usage: bool
    output_tokens: int


def parse_completion(body: bytes) -> Completion:
    """Return the checked request of a body; raise Refusal."""
    try:
        document = parse_json(body)
    except ValueError as error:
        raise refuse(400, MALFORMED_REQUEST, "the body is not JSON") from error
    if not isinstance(document, dict):
        raise refuse(400, MALFORMED_REQUEST, "the body is not a JSON object")
    model = document.get("model")
    if not isinstance(model, str):
        raise _refuse_field("model", "the name of a class")
    _check_messages(document.get("messages"))
    if document.get("n") not in (None, 1):
        raise _refuse_field("n", "1")
    stream = document.get("stream")
    if stream not in (None, True, False):
        raise _refuse_field("stream", "true or false")
    options = document.get("stream_options")
    if not isinstance(options, dict | None):
        raise _refuse_field("stream_options", "an object")
    usage = bool(options and options.get("include_usage"))
    return Completion(document, model, bool(stream), usage, _read_output_limit(document))


def find_chat_key(completion: Completion, header: str | None) -> str:
    """Return the key given for the chat, or one made from its first messages; raise Refusal."""
    key = completion.document.get("prompt_cache_key")
    if not isinstance(key, str | None) or len(key or "") > MAX_CHAT_KEY_CHARACTERS:
        raise _refuse_field("prompt_cache_key", f"at most {MAX_CHAT_KEY_CHARACTERS} characters")
    key = key or header
    if key:
        if len(key) > MAX_CHAT_KEY_CHARACTERS:
            raise _refuse_field("X-Chat-Id", f"at most {MAX_CHAT_KEY_CHARACTERS} characters")
        return key
    return hash_text(json.dumps(completion.document["messages"][:2]))


def format_body(completion: Completion, body: bytes, model: str) -> bytes:
    """Return the body for engines: always streamed, with usage if the caller receives it."""
    wants_usage = completion.include_usage or not completion.stream
    if completion.stream and not model:
        return body
    document = dict(completion.document, stream=True)
    if wants_usage:
        document["stream_options"] = {"include_usage": True}
    if model:
        document["model"] = model
    return json.dumps(document).encode()


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not 0 < len(messages) <= MAX_MESSAGES:
        raise _refuse_field("messages", f"a list of 1 to {MAX_MESSAGES} messages")
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _refuse_field("messages", "objects with a role")


def _read_output_limit(document: dict[str, Any]) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = document.get(name)
        if value is None:
            continue
        if type(value) is not int or not 0 < value <= MAX_OUTPUT_TOKENS:
            raise _refuse_field(name, f"a whole number from 1 to {MAX_OUTPUT_TOKENS}")
        return value
    return DEFAULT_OUTPUT_TOKENS


def _refuse_field(name: str, expected: str) -> Refusal:
    return refuse(400, FIELD_INVALID, f"{name} is not {expected}")
