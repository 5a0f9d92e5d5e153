"""Conversion between core dataclasses and the Thrift structs of the same name.

The codec of each class is built from its type hints on first use and cached. A message
added to :mod:`papayatack.core.messages` and ``peer.thrift`` therefore needs no code
here.
"""

import dataclasses
import functools
import types
import typing
from collections.abc import Callable
from typing import Any

from papayatack.core.identity import IncarnationId
from papayatack.core.messages import ControlMessage
from papayatack.wire.errors import WireError
from papayatack.wire.schema import schema

__all__ = [
    "CONTROL_FIELDS",
    "decode_control",
    "decode_struct",
    "encode_control",
    "encode_struct",
]

CONTROL_STREAM = 0
"""Stream id of the frames that carry control messages."""

_Converter = Callable[[Any], Any]
_Message = typing.TypeVar("_Message")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Codec:
    """Field converters of one dataclass.

    Attributes:
        message_class: The dataclass.
        struct_class: The Thrift struct of the same name.
        fields: Name, encoder and decoder of each field; a converter of ``None`` means
            that the value is copied unchanged.
        required: Names of the fields without a default.
    """

    message_class: type
    struct_class: type
    fields: tuple[tuple[str, _Converter | None, _Converter | None], ...]
    required: frozenset[str]


def _build_converters(hint: Any) -> tuple[_Converter | None, _Converter | None]:
    """Return the encoder and decoder for values of a type hint.

    ``None`` in place of a converter means that the value is copied unchanged.
    """
    if dataclasses.is_dataclass(hint):
        return encode_struct, functools.partial(decode_struct, hint)
    if typing.get_origin(hint) is tuple:
        encode, decode = _build_converters(typing.get_args(hint)[0])
        return _build_list_encoder(encode), _build_tuple_decoder(decode)
    if isinstance(hint, types.UnionType):
        return _build_optional_converters(hint)
    return None, None


def _build_optional_converters(
    hint: types.UnionType,
) -> tuple[_Converter | None, _Converter | None]:
    members = [part for part in typing.get_args(hint) if part is not types.NoneType]
    return _build_converters(members[0])


def _build_list_encoder(encode: _Converter | None) -> _Converter:
    if encode is None:
        return list
    return lambda values: [encode(value) for value in values]


def _build_tuple_decoder(decode: _Converter | None) -> _Converter:
    if decode is None:
        return tuple
    return lambda values: tuple([decode(value) for value in values])


@functools.cache
def _get_codec(message_class: type) -> _Codec:
    hints = typing.get_type_hints(message_class)
    fields = dataclasses.fields(message_class)
    return _Codec(
        message_class=message_class,
        struct_class=getattr(schema, message_class.__name__),
        fields=tuple((f.name, *_build_converters(hints[f.name])) for f in fields),
        required=frozenset(
            f.name
            for f in fields
            if f.default is dataclasses.MISSING
            and f.default_factory is dataclasses.MISSING
        ),
    )


def encode_struct(message: Any) -> Any:
    """Convert a dataclass to its Thrift struct."""
    codec = _get_codec(type(message))
    struct = codec.struct_class()
    for name, encode, _ in codec.fields:
        value = getattr(message, name)
        if encode is not None and value is not None:
            value = encode(value)
        setattr(struct, name, value)
    return struct


def decode_struct(message_class: type[_Message], struct: Any) -> _Message:
    """Convert a Thrift struct to an instance of ``message_class``.

    A field that is missing, such as one unknown to an older sender, takes its default.

    Raises:
        WireError: A field without a default is missing.
    """
    codec = _get_codec(message_class)
    values = {}
    for name, _, decode in codec.fields:
        value = getattr(struct, name, None)
        if value is not None:
            values[name] = value if decode is None else decode(value)
    missing = codec.required - values.keys()
    if missing:
        raise WireError(f"{message_class.__name__} lacks {', '.join(sorted(missing))}")
    return message_class(**values)


def _map_control_fields() -> dict[type, str]:
    """Map each control message class to the field of ``Control`` that carries it."""
    names = {
        spec[2].__name__: spec[1]
        for spec in schema.Control.thrift_spec.values()
        if isinstance(spec[2], type)
    }
    return {cls: names[cls.__name__] for cls in typing.get_args(ControlMessage)}


CONTROL_FIELDS = _map_control_fields()
"""Field of ``Control`` by the class of the control message that it carries."""


def encode_control(
    sender: IncarnationId, recipient: IncarnationId, message: ControlMessage
) -> Any:
    """Wrap a control message in a ``Frame`` struct."""
    control = schema.Control(sender=sender, recipient=recipient)
    setattr(control, CONTROL_FIELDS[type(message)], encode_struct(message))
    return schema.Frame(stream=CONTROL_STREAM, control=control)


def decode_control(
    frame: Any,
) -> tuple[IncarnationId, IncarnationId, ControlMessage]:
    """Return the sender, recipient and message of a control frame.

    Raises:
        WireError: The sender, the recipient or a required field is missing, or the
            frame carries no control message known to this version.
    """
    control = frame.control
    if control is None or not control.sender or not control.recipient:
        raise WireError("control frame lacks sender or recipient")
    for message_class, field in CONTROL_FIELDS.items():
        struct = getattr(control, field)
        if struct is not None:
            message = decode_struct(message_class, struct)
            return control.sender, control.recipient, message
    raise WireError("control frame carries no known message")
