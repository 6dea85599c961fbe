"""Expect how long a generation takes at an engine that has room for it."""

from __future__ import annotations

from typing import Final

TOKEN_S: Final = 0.009
"""Usual time per token at an engine that runs a few generations, in seconds."""
FIRST_EVENT_S: Final = 0.1
"""Time to the first event at an idle engine besides the prefill, in seconds."""
PREFILL_TOKENS_PER_S: Final = 14_000.0
"""Prompt tokens that an engine prefills per second (from the engines' data sheet)."""
MAX_PREFILL_S: Final = 0.5
"""Prefill that may be waiting at an engine, with a new prompt. Prompts granted beyond would wait
there in their order of arrival, where a more urgent one can't come first."""


def may_prefill(waiting_tokens: int, prompt_tokens: int) -> bool:
    """Return True if an engine may get a prompt besides those it has not prefilled yet."""
    prefill_s = (waiting_tokens + prompt_tokens) / PREFILL_TOKENS_PER_S
    return not waiting_tokens or prefill_s <= MAX_PREFILL_S


def first_event_s(prompt_tokens: int) -> float:
    """Return the time to the first event at an idle engine, in seconds."""
    return FIRST_EVENT_S + prompt_tokens / PREFILL_TOKENS_PER_S


def expected_hold_s(prompt_tokens: int, output_tokens: int) -> float:
    """Return the time for which a generation is expected to hold engine memory, in seconds."""
    return first_event_s(prompt_tokens) + TOKEN_S * output_tokens
