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
from functools import cache, partial
from pathlib import Path
from typing import Any, Final

import capnp

from driftstall.const import PREFIX_MEMBERSHIP
from driftstall.decisions.store_versions import StoreVersion
from driftstall.exceptions import MessageError
from driftstall.helpers.log import log_event
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
INTEGER_RANGES: Final = {
    f"{prefix}int{bits}": bounds
    for bits in (8, 16, 32, 64)
    for prefix, bounds in (
        ("u", (0, 2**bits - 1)),
        ("", (-(2 ** (bits - 1)), 2 ** (bits - 1) - 1)),
    )
}
"""Smallest and largest value of the schema's integer types."""

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
def _message_codecs(kind: type) -> tuple[_FieldCodec, ...]:
    """Return the codecs of the fields of a message type."""
    return _struct_codecs(kind, _schema.Envelope.schema.fields[_union_field(kind)].schema)


def _struct_codecs(kind: Any, struct_schema: Any) -> tuple[_FieldCodec, ...]:
    """Return the codecs of the fields of a dataclass, which has the given struct in the schema."""
    hints = typing.get_type_hints(kind)
    return tuple(
        _field_codec(item.name, hints[item.name], struct_schema)
        for item in dataclasses.fields(kind)
    )


def _field_codec(name: str, hint: Any, struct_schema: Any) -> _FieldCodec:
    """Return the codec of a field, by its type hint and its type in the schema."""
    wire = _to_camel_case(name)
    if typing.get_origin(hint) in (types.UnionType, typing.Union):
        inner = next(arg for arg in typing.get_args(hint) if arg is not types.NoneType)
        codec = _field_codec(name, inner, struct_schema)
        return dataclasses.replace(codec, optional=True)
    field = struct_schema.fields[wire]
    if typing.get_origin(hint) is tuple:
        item = typing.get_args(hint)[0]
        if dataclasses.is_dataclass(item):
            encode_item, decode_item = _struct_coders(item, field.schema.elementType)
            return _FieldCodec(
                name,
                wire,
                lambda values: [encode_item(value) for value in values],
                lambda values: tuple([decode_item(value) for value in values]),
                False,
            )
        return _FieldCodec(name, wire, list, tuple, False)
    if dataclasses.is_dataclass(hint):
        return _FieldCodec(name, wire, *_struct_coders(hint, field.schema), False)
    if isinstance(hint, type) and issubclass(hint, StrEnum):
        return _FieldCodec(name, wire, str, hint, False)
    if hint is float:
        return _FieldCodec(name, wire, _encode_float, _decode_float, False)
    wire_type = str(field.proto.slot.type.which())
    if wire_type in INTEGER_RANGES:
        decode = StoreVersion if hint is StoreVersion else _identity
        encode = _saturating(f"{struct_schema.node.displayName}.{wire}", INTEGER_RANGES[wire_type])
        return _FieldCodec(name, wire, encode, decode, False)
    return _FieldCodec(name, wire, _identity, _identity, False)


def _struct_coders(
    kind: Any, struct_schema: Any
) -> tuple[Callable[[Any], dict[str, Any]], Callable[[Any], Any]]:
    """Return the functions that encode and decode a nested dataclass."""
    codecs = _struct_codecs(kind, struct_schema)
    return partial(_to_wire, codecs), partial(_from_wire, kind, codecs)


def _saturating(field: str, bounds: tuple[int, int]) -> Callable[[Any], int]:
    """Return an encoder that replaces integers outside the bounds by the nearest one inside.

    Sums of figures that callers and upstreams state may exceed any field, and the exception of the
    Cap'n Proto library would end the process.
    """
    low, high = bounds

    def encode_integer(value: Any) -> int:
        number = int(value)
        if low <= number <= high:
            return number
        log_event(PREFIX_MEMBERSHIP, f"A figure exceeds its field {field}", value=str(number))
        return max(low, min(high, number))

    return encode_integer


def _identity(value: Any) -> Any:
    """Return a value unchanged."""
    return value


def _encode_float(value: float) -> float:
    """Replace infinity by FAR_FUTURE for the wire."""
    return FAR_FUTURE if math.isinf(value) else value


def _decode_float(value: float) -> float:
    """Restore infinity from FAR_FUTURE."""
    return math.inf if value >= FAR_FUTURE else value


def _to_wire(codecs: tuple[_FieldCodec, ...], value: Any) -> dict[str, Any]:
    """Return the schema's fields of a dataclass instance."""
    out: dict[str, Any] = {}
    for codec in codecs:
        part = getattr(value, codec.name)
        if codec.optional:
            out["has" + codec.wire[0].upper() + codec.wire[1:]] = part is not None
            if part is None:
                continue
        out[codec.wire] = codec.encode(part)
    return out


def _from_wire(kind: Any, codecs: tuple[_FieldCodec, ...], reader: Any) -> Any:
    """Return a dataclass instance built from the schema's fields."""
    values: list[Any] = []
    for codec in codecs:
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
    kind: Any = type(message)
    builder.init(_union_field(kind)).from_dict(_to_wire(_message_codecs(kind), message))
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
            kind: Any = message_types[name]
            message = _from_wire(kind, _message_codecs(kind), getattr(reader, name))
            return Envelope(reader.sender, reader.recipient, reader.sequence, message)
    except (capnp.KjException, zlib.error, KeyError, ValueError) as fault:
        raise MessageError(f"the message is malformed: {type(fault).__name__}") from fault
