"""Names that the users' platform defines: headers, paths and tables."""

from __future__ import annotations

# Headers between callers, instances and upstreams; compared in lower case.
REQUEST_ID = b"request-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
BEARER = "Bearer "
PROMPT_PARTS = b"prefix-hash"
TOKEN_COUNTS = b"token-usage"
LAST_EVENT = b"last-event-id"
RETRY_AFTER = "Retry-After"
PAUSE = b"retry-after"
LEAVING = b"server-leaving"
LIMIT = b"server-limit"
SIGNATURE = b"worker-signature"
UPSTREAM_ID = b"worker-id"
UPSTREAM_LOAD = b"worker-load"
NOT_RUN = b"not-executed"
# Statuses that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
COLD_LEFT = b"warmup-ms"
KEEP_ALIVE = b"keep-alive"
CONTENT_LENGTH = b"content-length"
CONNECTION = b"connection"
CONTENT_ENCODING = b"content-encoding"
CONTENT_TYPE = b"content-type"
EVENT_STREAM = b"text/event-stream"

# Headers that are added to forwarded requests, in the case in which they are sent.
SEND_DEADLINE = b"Deadline-Ms"
SEND_EXPECTED = b"Expect-Worker"
SEND_TEAM = b"Tenant"
SEND_FETCH = b"Kv-Fetch"
SEND_PRIORITY = b"Request-Priority"
SEND_LAST_EVENT = b"Last-Event-Id"

# Headers of one connection (RFC 9110, section 7.6.1), which are not forwarded.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    )
)
# Headers that only this system may set in requests to upstreams; callers' values are dropped.
OWN_HEADERS = frozenset(
    (
        b"tenant",
        b"expect-worker",
        b"expect-version",
        b"request-priority",
        b"retain",
        b"pin-ms",
        b"kv-fetch",
        b"kv-from",
        b"kv-backup",
    )
)

READY_PATH = "/-/readyz"

# Paths of the store's calls.
ROWS_GET = "/-/rows-get"
ROWS_FEED = "/-/rows-feed"
ROWS_TX = "/-/rows-tx"
# In every answer of a store that can come back from an older copy; rises by one each time.
STORE_ERA = "Store-Era"

# Paths and headers of the service that takes usage reports and scale orders.
DUTY_USAGE = "/usage"
DUTY_SCALE = "/scale"
DUTY_OWNER = "Duty-Owner"
FENCE_TOKEN = "Fence-Token"

# Tables and keys of the store: operators write the first table, upstreams the second one.
OPERATOR_TABLE = "op"
UPSTREAM_TABLE = "servers"
STATUS_TABLE = "status"
CONFIG_KEY = "config"
MOVE_PREFIX = "rollout/"
EVACUATE_PREFIX = "evacuate/"

SETTINGS_VARIABLE = "JAYYOKE_SETTINGS"
