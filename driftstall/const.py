"""Define the constants that several packages share."""

from __future__ import annotations

from typing import Final

VERSION: Final = "0.1.0"

# Header names of the callers' interface.
HEADER_WORKSPACE_KEY: Final = "Authorization"
HEADER_KIND: Final = "Driftstall-Kind"
HEADER_DEADLINE: Final = "Driftstall-Deadline"
HEADER_TICKET: Final = "Driftstall-Ticket"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_LAST_EVENT_ID: Final = "Last-Event-ID"
HEADER_REPEATABLE: Final = "Driftstall-Repeatable"

# Stable codes of the problem details that callers receive.
CODE_BAD_REQUEST: Final = "bad_request"
CODE_UNAUTHENTICATED: Final = "unauthenticated"
CODE_NOT_FOUND: Final = "not_found"
CODE_TOO_LARGE: Final = "too_large"
CODE_REFUSED: Final = "refused_by_policy"
CODE_LIMITED: Final = "token_limit"
CODE_NO_RUNNER: Final = "no_runner"
CODE_RUNNER_FAILED: Final = "runner_failed"
CODE_INCOMPLETE: Final = "answer_incomplete"
CODE_DEADLINE: Final = "deadline_passed"
CODE_PLATFORM_DOWN: Final = "platform_unavailable"
CODE_CLAIMED: Final = "claimed_outcome_unknown"
CODE_LEAVING: Final = "instance_leaving"
CODE_CRASHES_RUNNERS: Final = "crashes_runners"
CODE_INTERNAL: Final = "internal_error"

# Log prefixes, one for each component.
PREFIX_ADMISSION: Final = "admission:"
PREFIX_CLAIMS: Final = "claims:"
PREFIX_CONFIGURATION: Final = "configuration:"
PREFIX_DRAIN: Final = "drain:"
PREFIX_LOCATE: Final = "locate:"
PREFIX_MEMBERSHIP: Final = "membership:"
PREFIX_PLACEMENT: Final = "placement:"
PREFIX_RELAY: Final = "relay:"
PREFIX_ROUTING: Final = "routing:"
PREFIX_YIELDING: Final = "yielding:"

# Keys of the objects stored in the platform's service.
KEY_CONFIG: Final = "driftstall/config"
KEY_CLAIMS: Final = "driftstall/claims"
KEY_LEASE: Final = "driftstall/lease"
