"""Define the tree of errors."""

from __future__ import annotations


class DriftstallError(Exception):
    """Base of every error that driftstall raises."""


class InvariantBroken(DriftstallError):
    """Report a state that must never be reached; it stops the process."""


class SettingsError(DriftstallError):
    """Report every wrong setting at once, each with its fix."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        """Keep the faults, one line each."""
        super().__init__("\n".join(faults))
        self.faults = faults


class PolicyError(DriftstallError):
    """Report a fault in a policy's text, with its place and its fix."""

    def __init__(self, line: int, column: int, cause: str, fix: str) -> None:
        """Keep the place (both from 1), the cause and the fix."""
        super().__init__(f"line {line}, column {column}: {cause}; {fix}")
        self.line = line
        self.column = column
        self.cause = cause
        self.fix = fix


class MessageError(DriftstallError):
    """Report a peer message that is malformed or not authentic."""


class UpstreamError(DriftstallError):
    """Report a failed exchange with an outside system."""

    def __init__(self, detail: str, *, sent: bool, refused: bool = False) -> None:
        """Keep whether any byte may have been seen, and whether nobody listens there."""
        super().__init__(detail)
        self.sent = sent
        self.refused = refused


class PlatformUnavailable(DriftstallError):
    """Report that the platform did not answer; a write may have taken effect."""

    def __init__(self, detail: str, *, sent: bool = True) -> None:
        """Keep whether a write may have taken effect."""
        super().__init__(detail)
        self.sent = sent


class HistoryUnavailable(PlatformUnavailable):
    """Report that a watch cannot go on from its revision; list again."""

    def __init__(self) -> None:
        """Say so; nothing was written."""
        super().__init__("the history is gone", sent=False)
