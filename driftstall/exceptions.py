"""Define the exceptions of driftstall."""

from __future__ import annotations


class DriftstallError(Exception):
    """Base class of all driftstall exceptions."""


class InvariantBroken(DriftstallError):
    """Raised for a state that must never be reached; it stops the process."""


class SettingsError(DriftstallError):
    """Raised with every invalid setting at once, each with its fix."""

    def __init__(self, faults: tuple[str, ...]) -> None:
        """Initialize with the faults, one line each."""
        super().__init__("\n".join(faults))
        self.faults = faults


class SettingsUnreadable(SettingsError):
    """Raised if the settings file is missing or incomplete, as while it is being replaced."""


class ListenError(DriftstallError):
    """Raised if an instance cannot listen on one of its addresses."""


class PolicyError(DriftstallError):
    """Raised for a fault in the text of a policy, with its position and its fix."""

    def __init__(self, line: int, column: int, cause: str, fix: str) -> None:
        """Initialize with the position (both from 1), the cause and the fix."""
        super().__init__(f"line {line}, column {column}: {cause}; {fix}")
        self.line = line
        self.column = column
        self.cause = cause
        self.fix = fix


class MessageError(DriftstallError):
    """Raised for a peer message that is malformed or not authentic."""


class InboundTooLongError(DriftstallError, OSError):
    """Raised for a message of a connection that is longer than its limit."""


class TruncatedHeadError(DriftstallError, OSError):
    """Raised when a connection ends before the head of a request."""


class MalformedHeadError(DriftstallError, ValueError):
    """Raised for a request whose head does not show where its body ends."""


class InboundOverloadError(DriftstallError):
    """Raised when open connections hold as many bytes as they may together."""


class UpstreamError(DriftstallError):
    """Raised when an exchange with an external system failed."""

    def __init__(self, detail: str, *, sent: bool, refused: bool = False) -> None:
        """Record whether any byte may have been received, and whether the peer refused it."""
        super().__init__(detail)
        self.sent = sent
        self.refused = refused


class UpstreamTimeout(UpstreamError):
    """Raised when a request was sent and no answer came in time, on an open connection."""

    def __init__(self, detail: str) -> None:
        """Initialize the error; the request may have been executed."""
        super().__init__(detail, sent=True)


class OversizedAnswer(UpstreamError):
    """Raised for an answer that exceeds a limit and was not read any further."""

    def __init__(self, defect: str) -> None:
        """Initialize the error; the request may have been executed."""
        super().__init__(f"the answer exceeds a limit: {defect}", sent=True)


class NoPeerError(UpstreamError):
    """Raised when no peer can open a connection to an upstream in place of this instance."""

    def __init__(self, detail: str) -> None:
        """Initialize the error; nothing was sent."""
        super().__init__(detail, sent=False)


class RequestQuarantined(UpstreamError):
    """Raised when a request was quarantined as poison while its connection was opened."""

    def __init__(self) -> None:
        """Initialize the error; nothing was sent."""
        super().__init__("the request was quarantined while it waited", sent=False)


class InvalidResponse(UpstreamError):
    """Raised for a response that is not its upstream's, so the request may have run."""

    def __init__(self, defect: str) -> None:
        """Initialize the error with the defect of the response."""
        super().__init__(f"the response is invalid: {defect}", sent=True)


class InstanceStopping(UpstreamError):
    """Raised when a planned stop began while a request waited, and it could not end in time."""

    def __init__(self) -> None:
        """Initialize the error; nothing was sent."""
        super().__init__("this instance began to stop while the request waited", sent=False)


class PlatformUnavailable(DriftstallError):
    """Raised when the platform did not answer; a write may have taken effect."""

    def __init__(self, detail: str, *, sent: bool = True) -> None:
        """Record whether a write may have taken effect."""
        super().__init__(detail)
        self.sent = sent


class HistoryUnavailable(PlatformUnavailable):
    """Raised when a watch can't continue from its revision; the objects must be listed again."""

    def __init__(self) -> None:
        """Initialize the error; nothing was written."""
        super().__init__("the history is gone", sent=False)
