"""Names of the platform's headers, paths and kinds of objects."""

from __future__ import annotations

from typing import Final

HEADER_REQUEST_ID: Final = b"x-driftstall-request-id"
HEADER_DEADLINE_MS: Final = b"x-driftstall-deadline-ms"
HEADER_PROMPT: Final = b"x-driftstall-prompt-prefix"
HEADER_MODEL: Final = b"x-driftstall-model"
HEADER_TOKENS: Final = b"x-driftstall-token-count"
HEADER_WORKSPACE: Final = b"x-driftstall-tenant"
HEADER_UPSTREAM_ID: Final = b"x-driftstall-expect-instance"
HEADER_LOAD: Final = b"x-driftstall-server-load"
HEADER_RATE_LIMIT: Final = b"server-limit"
"""Requests per second that an upstream accepts from all instances together."""
HEADER_LEAVING: Final = b"server-leaving"
"""Set to 1 in all responses of a leaving upstream."""
HEADER_BRITTLE: Final = b"server-brittle"
"""Rejections for want of room in a second beyond which an upstream falls over."""
HEADER_RETRY_AFTER: Final = b"retry-after"
"""With 429 and 503: seconds for which this instance should send the upstream no requests."""
HEADER_NOT_EXECUTED: Final = b"x-driftstall-not-executed"
HEADER_SIGNATURE: Final = b"x-driftstall-response-seal"
"""Signature of an upstream; a response without it may have been spoiled on the way."""
HEADER_LAST_EVENT_ID: Final = b"last-event-id"
HEADER_KEY: Final = b"authorization"
HEADER_RANK: Final = b"priority"
HEADER_KV_BACKUP: Final = b"kv-backup"
HEADER_KV_FROM: Final = b"kv-from"
HEADER_LENGTH_HINT: Final = b"length-hint"

HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"proxy-authorization",
        b"proxy-authenticate",
    }
)
"""Hop-by-hop headers, which are not forwarded; Content-Length is among them because it is computed
again for each message."""

KNOWN_UPSTREAM_HEADERS: Final = frozenset(
    {
        HEADER_REQUEST_ID,
        HEADER_LOAD,
        HEADER_RATE_LIMIT,
        HEADER_LEAVING,
        HEADER_BRITTLE,
        HEADER_NOT_EXECUTED,
        HEADER_SIGNATURE,
        b"x-driftstall-instance-id",
        b"server-timing",
    }
)
"""Known response headers whose names start with a signal prefix."""
SIGNAL_PREFIXES: Final = (b"server-", b"x-driftstall-")
"""A response header with one of these prefixes that is not known is reported as unknown signal."""

RESERVED_HEADERS: Final = frozenset(
    {
        HEADER_DEADLINE_MS,
        HEADER_WORKSPACE,
        HEADER_UPSTREAM_ID,
        HEADER_LAST_EVENT_ID,
        HEADER_KEY,
        HEADER_RANK,
        HEADER_KV_BACKUP,
        HEADER_KV_FROM,
        b"kv-fetch",
        b"expect-version",
        b"hold",
        b"pin-ms",
        b"wait-ms",
        HEADER_NOT_EXECUTED,
        HEADER_LOAD,
        HEADER_RATE_LIMIT,
        HEADER_LEAVING,
        HEADER_BRITTLE,
        HEADER_SIGNATURE,
        b"x-driftstall-instance-id",
    }
)
"""Headers that only the system may set; they are removed from callers' requests."""

HEADER_ERA: Final = "store-era"
"""Era of the store, in all its answers; it rises each time the store is restored from an older
copy."""

PATH_READY: Final = "/api/ready"
PATH_LOCATE: Final = "/api/resolve"
PATH_OBJECTS: Final = "/api/objects"
PATH_KV_MOVE: Final = "/api/kv-move"
PATH_REPORT: Final = "/api/report"
PATH_KV_HANDLE: Final = "/api/kv-handle"

KIND_UPSTREAMS: Final = "servers"
KIND_CORDONS: Final = "evacuations"
"""Each object cordons the zone that it is named after; its content is ignored."""
KIND_CONFIG: Final = "config"
NAME_CONFIG: Final = "main"
KIND_INSTANCES: Final = "driftstall-instances"
KIND_CRASHES: Final = "driftstall-crashes"
"""One object per request that has crashed upstreams, named after the request's fingerprint."""
KIND_POLICY: Final = "driftstall-policies"
NAME_POLICY: Final = "current"
