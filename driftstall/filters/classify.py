"""Classify a request and parse its kind, prompt length and deadline."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import Any, Final

import orjson
import voluptuous as vol

from driftstall.const import (
    CODE_BAD_REQUEST,
    CODE_NOT_FOUND,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_KIND,
    HEADER_REPEATABLE,
)
from driftstall.core import PrefixMark, Problem, Ran, Request
from driftstall.filters.context import FilterResult, RequestContext
from driftstall.util.tokens import prefix_marks

PATH_CHAT: Final = "/v1/chat/completions"
PATH_SERVICES: Final = "/services/"
DEFAULT_KIND: Final = "chat"
DEFAULT_MAX_TOKENS: Final = 1_024
MAX_TOKENS: Final = 65_536
MAX_MESSAGES: Final = 2_000
MAX_KEY_CHARS: Final = 128
SAFE_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS"})

MESSAGE: Final = vol.Schema(
    {vol.Required("role"): vol.All(str, vol.Length(min=1, max=32)), vol.Required("content"): str},
    extra=vol.ALLOW_EXTRA,
)
BODY: Final = vol.Schema(
    {
        vol.Required("model"): vol.All(str, vol.Length(min=1, max=128)),
        vol.Required("messages"): vol.All([MESSAGE], vol.Length(min=1, max=MAX_MESSAGES)),
        vol.Optional("max_tokens", default=DEFAULT_MAX_TOKENS): vol.All(
            int, vol.Range(min=1, max=MAX_TOKENS)
        ),
        vol.Optional("stream", default=False): bool,
    },
    extra=vol.ALLOW_EXTRA,
)


def _build_bad_request(detail: str) -> Problem:
    """Return a 400 problem."""
    return Problem(CODE_BAD_REQUEST, 400, detail, Ran.NOT_RUN)


class Classify:
    """Distinguish generations from plain service calls and parse either."""

    def __init__(self, default_deadline_s: float) -> None:
        """Initialize with the deadline of a request that states none, in seconds."""
        self._default_deadline_s = default_deadline_s

    def __call__(self, context: RequestContext) -> FilterResult:
        """Parse the request, or return the problem with it."""
        deadline = self._parse_deadline(context)
        if isinstance(deadline, Problem):
            return deadline
        context = replace(context, deadline=deadline)
        if context.path == PATH_CHAT:
            return self._parse_generation(context)
        if context.path.startswith(PATH_SERVICES):
            return self._parse_service(context)
        detail = f"there is no {context.path}; try {PATH_CHAT} or {PATH_SERVICES}NAME/..."
        return Problem(CODE_NOT_FOUND, 404, detail, Ran.NOT_RUN)

    def _parse_deadline(self, context: RequestContext) -> float | Problem:
        """Return the deadline by the request's header, as wall-clock time in seconds."""
        text = context.headers.get(HEADER_DEADLINE.lower())
        if text is None:
            return context.now + self._default_deadline_s
        try:
            seconds = float(text)
        except ValueError:
            return _build_bad_request(f"{HEADER_DEADLINE} is not a number of seconds")
        if not 0 < seconds <= 86_400:
            return _build_bad_request(
                f"{HEADER_DEADLINE} must be above 0 and at most 86400 seconds"
            )
        return context.now + seconds

    def _parse_generation(self, context: RequestContext) -> FilterResult:
        """Parse a request in the chat-completions format."""
        if context.method != "POST":
            return Problem(CODE_BAD_REQUEST, 405, f"use POST on {PATH_CHAT}", Ran.NOT_RUN)
        payload = _parse_payload(context.body)
        if isinstance(payload, Problem):
            return payload
        kind = context.headers.get(HEADER_KIND.lower(), DEFAULT_KIND)
        if len(kind) > 64 or not kind.replace("_", "").replace("-", "").isalnum():
            return _build_bad_request(f"{HEADER_KIND} must be up to 64 letters, digits, - or _")
        messages = [(message["role"], message["content"]) for message in payload["messages"]]
        marks = _mark_prefixes(payload["model"], messages)
        request = Request(
            context.request_id,
            context.workspace,
            kind,
            payload["model"],
            marks[-1].tokens,
            payload["max_tokens"],
            marks,
            context.now,
            context.deadline,
        )
        return replace(context, payload=payload, request=request)

    def _parse_service(self, context: RequestContext) -> FilterResult:
        """Parse a call to a plain service."""
        service, _, service_path = context.path.removeprefix(PATH_SERVICES).partition("/")
        key = context.headers.get(HEADER_IDEMPOTENCY_KEY.lower(), "")
        if len(key) > MAX_KEY_CHARS:
            return _build_bad_request(
                f"{HEADER_IDEMPOTENCY_KEY} must be at most {MAX_KEY_CHARS} characters"
            )
        value = context.headers.get(HEADER_REPEATABLE.lower(), "").lower()
        if value not in ("", "true", "false"):
            return _build_bad_request(f"{HEADER_REPEATABLE} must be true or false")
        is_repeatable = value == "true" or (value == "" and context.method in SAFE_METHODS)
        return replace(
            context,
            service=service,
            service_path="/" + service_path,
            is_repeatable=is_repeatable and not key,
            idempotency_key=key,
        )


def _parse_payload(body: bytes) -> dict[str, Any] | Problem:
    """Parse and validate the body of a generation."""
    try:
        raw = orjson.loads(body)
    except orjson.JSONDecodeError:
        return _build_bad_request("the body is not JSON")
    try:
        checked: dict[str, Any] = BODY(raw)
    except vol.MultipleInvalid as invalid:
        return _build_bad_request("; ".join(str(fault) for fault in invalid.errors[:5]))
    except RecursionError:
        return _build_bad_request("the body is nested too deeply")
    return checked


def _mark_prefixes(model: str, messages: Sequence[tuple[str, str]]) -> tuple[PrefixMark, ...]:
    """Return the marks of the prompt's prefixes."""
    return tuple([PrefixMark(*mark) for mark in prefix_marks(model, messages)])
