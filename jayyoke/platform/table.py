"""Client of the platform's transactional table service."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import aiohttp

from jayyoke.core.error import Conflict, Effect, StoreUnavailable
from jayyoke.platform.body import read_body
from jayyoke.utils.jsontext import parse_json

MAX_ANSWER_BYTES = 64 << 20
MAX_PUTS_PER_COMMIT = 100


@dataclass(frozen=True, slots=True)
class Row:
    """Holds one row; version grows with each write of the key."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Put:
    """Writes one row; value None deletes, expect 0 means absent, expect None means any version."""

    key: str
    value: bytes | None
    expect: int | None = None


class Table:
    """Reads and writes rows over HTTP; every call has a timeout in seconds."""

    __slots__ = ("_http", "_timeout", "_url")

    def __init__(self, http: aiohttp.ClientSession, url: str, timeout_s: float = 1.0):
        self._http = http
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def get(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist; raise StoreUnavailable."""
        answer = await self._post("get", {"key": key})
        if "row" not in answer:
            raise StoreUnavailable("table answered a get without a row")
        row = answer["row"]
        if row is None:
            return None
        parsed = _parse_row(row)
        if parsed.key != key:
            raise StoreUnavailable(f"table answered with another row than {key!r}")
        return parsed

    async def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return rows whose keys start with the prefix, in key order; raise StoreUnavailable."""
        answer = await self._post("scan", {"prefix": prefix, "after": after, "limit": limit})
        rows = answer.get("rows")
        if not isinstance(rows, list):
            raise StoreUnavailable("table answered a scan without rows")
        return [_parse_row(row) for row in rows]

    async def commit(self, puts: Sequence[Put]) -> None:
        """Write all puts or none; raise Conflict or StoreUnavailable with the known effect."""
        if len(puts) > MAX_PUTS_PER_COMMIT:
            raise ValueError(f"{len(puts)} puts exceed the limit of {MAX_PUTS_PER_COMMIT}")
        body = {"puts": [_format_put(put) for put in puts]}
        answer = await self._post("commit", body, effect=Effect.UNKNOWN)
        conflicts = answer.get("conflicts")
        if conflicts:
            raise Conflict(_parse_conflicts(conflicts, len(puts)))
        if answer.get("committed") is not True:
            raise StoreUnavailable("table answered a commit without a result", Effect.UNKNOWN)

    async def _post(
        self, call: str, body: dict[str, Any], effect: Effect = Effect.NONE
    ) -> dict[str, Any]:
        try:
            async with self._http.post(
                f"{self._url}/v1/{call}", json=body, timeout=self._timeout
            ) as response:
                if response.status in (429, 503):
                    # The service refuses before it reads the body, so nothing was written.
                    raise StoreUnavailable(f"table refused {call} with {response.status}")
                if response.status != 200:
                    raise StoreUnavailable(f"table answered {call} with {response.status}", effect)
                answer = parse_json(await read_body(response, MAX_ANSWER_BYTES, effect))
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailable(f"table cannot be reached: {error}") from error
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            detail = f"table did not answer {call}: {type(error).__name__}"
            raise StoreUnavailable(detail, effect) from error
        if not isinstance(answer, dict):
            raise StoreUnavailable(f"table answered {call} with a malformed body", effect)
        return answer


def _format_put(put: Put) -> dict[str, Any]:
    value = None if put.value is None else base64.b64encode(put.value).decode()
    return {"key": put.key, "value": value, "expect": put.expect}


def _parse_conflicts(conflicts: Any, count: int) -> list[int]:
    indexes = conflicts if isinstance(conflicts, list) else []
    valid = [index for index in indexes if type(index) is int and 0 <= index < count]
    if not valid or len(valid) != len(indexes):
        raise StoreUnavailable("table answered with malformed conflicts", Effect.UNKNOWN)
    return valid


def _parse_row(row: Any) -> Row:
    try:
        value = base64.b64decode(row["value"], validate=True)
        return Row(str(row["key"]), value, int(row["version"]))
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        raise StoreUnavailable(f"table answered with a malformed row: {error!r}") from error
