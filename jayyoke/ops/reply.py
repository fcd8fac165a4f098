"""Late replies: table rows `reply/{request_id}`, from which any instance can fetch a reply."""

from __future__ import annotations

import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from urllib.parse import quote

from jayyoke.core.error import Refusal, RunState, StoreUnavailable
from jayyoke.ops.forward import Answer
from jayyoke.platform.objects import Objects
from jayyoke.platform.table import Put, Table
from jayyoke.utils.jsontext import parse_json
from jayyoke.utils.record import build_record

MAX_INLINE_BYTES = 16 << 10


@dataclass(frozen=True, slots=True)
class Reply:
    """Holds the value of a reply row; `expires_ms` is wall-clock time."""

    team: str
    token: str
    expires_ms: int
    answered: bool = False
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    object_key: str = ""


def reply_key(request_id: str) -> str:
    """Return the table key of a reply."""
    return f"reply/{quote(request_id, safe='')}"


def encode_reply(reply: Reply) -> bytes:
    """Return the stored form of a reply."""
    fields = {name: getattr(reply, name) for name in Reply.__dataclass_fields__}
    fields["body"] = base64.b64encode(reply.body).decode()
    return json.dumps(fields).encode()


def decode_reply(value: bytes) -> Reply:
    """Return a reply from its stored form; raise StoreUnavailable if it is malformed."""
    try:
        fields = parse_json(value)
        fields["body"] = base64.b64decode(fields["body"], validate=True)
        return build_record(Reply, fields)
    except (ValueError, KeyError, TypeError) as error:
        raise StoreUnavailable(f"reply row is malformed: {error!r}") from error


class Replies:
    """Builds the puts of reply rows and reads them."""

    def __init__(self, table: Table, objects: Objects, wall_s: Callable[[], float] = time.time):
        self._table = table
        self._objects = objects
        self._wall_s = wall_s

    def build_pending_put(self, request_id: str, team: str, token: str, keep_s: float) -> Put:
        """Return the put that creates a pending reply; it conflicts if the id is in use."""
        expires_ms = int((self._wall_s() + keep_s) * 1000)
        return Put(reply_key(request_id), encode_reply(Reply(team, token, expires_ms)), 0)

    async def build_answered_put(self, request_id: str, token: str, answer: Answer) -> Put | None:
        """Return the put that records an answer, or None if one is recorded already.

        Large bodies are written to the object store first. Raises StoreUnavailable.
        """
        row = await self._table.get(reply_key(request_id))
        if row is None:
            return None
        reply = decode_reply(row.value)
        if reply.answered or reply.token != token:
            return None
        reply = replace(
            reply, answered=True, status=answer.status, content_type=answer.content_type
        )
        if len(answer.body) > MAX_INLINE_BYTES:
            name = f"reply/{token}"
            await self._objects.put(name, answer.body)
            reply = replace(reply, object_key=name)
        else:
            reply = replace(reply, body=answer.body)
        return Put(row.key, encode_reply(reply), row.version)

    async def fetch(self, request_id: str, team: str) -> Answer | None:
        """Return the answer, or None while it is pending; raise Refusal if there is none."""
        try:
            row = await self._table.get(reply_key(request_id))
            if row is None:
                raise Refusal(404, "reply-unknown", "no reply has this id", RunState.UNKNOWN)
            reply = decode_reply(row.value)
            if reply.team != team:
                raise Refusal(403, "reply-foreign", "another team's reply", RunState.UNKNOWN)
            if reply.expires_ms < self._wall_s() * 1000:
                raise Refusal(410, "reply-expired", "the reply is kept no longer", RunState.UNKNOWN)
            if not reply.answered:
                return None
            body: bytes | None = reply.body
            if reply.object_key:
                body = await self._objects.get(reply.object_key)
            if body is None:
                raise StoreUnavailable(f"object {reply.object_key!r} is missing")
            return Answer(reply.status, reply.content_type, body)
        except StoreUnavailable as error:
            raise Refusal(503, "store-unavailable", str(error), RunState.UNKNOWN, 1.0) from error
