"""Encoding of peer messages as authenticated frames, with Cap'n Proto.

A frame is a length of four bytes, a message authentication code (MAC), the protocol
version and the compressed envelope. The recipient checks the MAC, the version, the
recipient's id and that the sequence number has grown.

Exceptions of the Cap'n Proto library walk the native stack, which crashes the process
inside a greenlet. No code here may cause one: a union member is initialized before it is
filled, and a frame is decoded only with the right version and MAC. The packed encoding
crashes in the same way, for messages of about ten kilobytes written in a greenlet, so
envelopes are written unpacked and compressed with zlib.
"""

from __future__ import annotations

import dataclasses
import hmac
import math
import struct
import types
import typing
import zlib
from collections.abc import Callable, Mapping
from enum import StrEnum
from functools import cache
from pathlib import Path
from typing import Any, Final

import capnp

from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import MessageError
from driftstall.peers.envelope import Envelope
from driftstall.util.signing import MAC_BYTES, mac

MAX_FRAME_BYTES: Final = 4_000_000
MAX_PLAIN_BYTES: Final = 16_000_000
"""Maximum size of an envelope before compression; texts shrink to a tenth or less."""
COMPRESSION: Final = 1
"""The fastest zlib level, as messages are small and frequent."""
HEADER: Final = struct.Struct(">I")
TRAVERSAL_WORDS: Final = 2_000_000
"""Cap'n Proto's read limit for one message, in words of eight bytes."""
PROTOCOL: Final = b"DRIFT\x08"
"""The protocol and its version."""
FAR_FUTURE: Final = 1e300
"""Represents an infinite time on the wire."""

_schema: Any = capnp.load(str(Path(__file__).with_name("schema.capnp")))


def _to_camel_case(name: str) -> str:
    """Return a field's name in the schema, in camel case."""
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


def _union_field(kind: type) -> str:
    """Return the envelope's field for a message type."""
    return kind.__name__[0].lower() + kind.__name__[1:]


MessageTypes = Mapping[str, type]
"""Message types by their union field in the schema's envelope."""


def message_types_of(messages: Any) -> MessageTypes:
    """Return the message types of a type union, by their field in the envelope."""
    return {_union_field(kind): kind for kind in typing.get_args(messages)}


@dataclasses.dataclass(frozen=True, slots=True)
class _FieldCodec:
    """How one field of a dataclass is encoded and decoded."""

    name: str
    wire: str
    encode: Callable[[Any], Any]
    decode: Callable[[Any], Any]
    optional: bool


@cache
def _field_codecs(kind: Any) -> tuple[_FieldCodec, ...]:
    """Return the codecs of a dataclass's fields."""
    hints = typing.get_type_hints(kind)
    return tuple(_field_codec(item.name, hints[item.name]) for item in dataclasses.fields(kind))


def _field_codec(name: str, hint: Any) -> _FieldCodec:
    """Return the codec of a field, by its type hint."""
    wire = _to_camel_case(name)
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        inner = next(arg for arg in typing.get_args(hint) if arg is not types.NoneType)
        if not dataclasses.is_dataclass(inner):
            return _FieldCodec(name, wire, _identity, _identity, True)
        return _FieldCodec(name, wire, _to_wire, lambda value: _from_wire(inner, value), True)
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        if dataclasses.is_dataclass(item):
            return _FieldCodec(
                name,
                wire,
                lambda values: [_to_wire(value) for value in values],
                lambda values: tuple([_from_wire(item, value) for value in values]),
                False,
            )
        return _FieldCodec(name, wire, list, tuple, False)
    if dataclasses.is_dataclass(hint):
        return _FieldCodec(name, wire, _to_wire, lambda value: _from_wire(hint, value), False)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return _FieldCodec(name, wire, str, hint, False)
    if hint is StoreVersion:
        return _FieldCodec(name, wire, int, StoreVersion, False)
    if hint is float:
        return _FieldCodec(name, wire, _encode_float, _decode_float, False)
    return _FieldCodec(name, wire, _identity, _identity, False)


def _identity(value: Any) -> Any:
    """Return a value unchanged."""
    return value


def _encode_float(value: float) -> float:
    """Replace infinity by FAR_FUTURE for the wire."""
    return FAR_FUTURE if math.isinf(value) else value


def _decode_float(value: float) -> float:
    """Restore infinity from FAR_FUTURE."""
    return math.inf if value >= FAR_FUTURE else value


def _to_wire(value: Any) -> dict[str, Any]:
    """Return the schema's fields of a dataclass instance."""
    out: dict[str, Any] = {}
    kind: Any = type(value)
    for codec in _field_codecs(kind):
        part = getattr(value, codec.name)
        if codec.optional:
            out["has" + codec.wire[0].upper() + codec.wire[1:]] = part is not None
            if part is None:
                continue
        out[codec.wire] = codec.encode(part)
    return out


def _from_wire(kind: Any, reader: Any) -> Any:
    """Return a dataclass instance built from the schema's fields."""
    values: list[Any] = []
    for codec in _field_codecs(kind):
        if codec.optional and not getattr(reader, "has" + codec.wire[0].upper() + codec.wire[1:]):
            values.append(None)
        else:
            values.append(codec.decode(getattr(reader, codec.wire)))
    return kind(*values)


def encode(envelope: Envelope, key: bytes) -> bytes:
    """Return an envelope as a frame, with its length in front."""
    message = envelope.message
    builder = _schema.Envelope.new_message()
    builder.sender = envelope.sender
    builder.recipient = envelope.recipient
    builder.sequence = envelope.sequence
    builder.init(_union_field(type(message))).from_dict(_to_wire(message))
    body = PROTOCOL + zlib.compress(builder.to_bytes(), COMPRESSION)
    return HEADER.pack(len(body) + MAC_BYTES) + mac(key, body) + body


def decode(frame: bytes, key: bytes, message_types: MessageTypes) -> Envelope:
    """Return the envelope of a frame, given without its length.

    Raises MessageError if the frame is not authentic, has another protocol version or is
    malformed. A message of a type that is not expected is malformed.
    """
    tag, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
    if not hmac.compare_digest(tag, mac(key, body)):
        raise MessageError("the message is not authentic")
    if not body.startswith(PROTOCOL):
        raise MessageError("the message has another protocol version")
    try:
        plain = zlib.decompressobj().decompress(body[len(PROTOCOL) :], MAX_PLAIN_BYTES)
        with _schema.Envelope.from_bytes(plain, traversal_limit_in_words=TRAVERSAL_WORDS) as reader:
            name = str(reader.which())
            message = _from_wire(message_types[name], getattr(reader, name))
            return Envelope(reader.sender, reader.recipient, reader.sequence, message)
    except (capnp.KjException, zlib.error, KeyError, ValueError) as fault:
        raise MessageError(f"the message is malformed: {type(fault).__name__}") from fault
