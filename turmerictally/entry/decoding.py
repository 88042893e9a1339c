"""Decode what other programs wrote, and check the values that it holds.

Each check bounds what it returns: numbers are finite and in range, texts can be encoded
and have a limited length. Only values that passed a check leave this module, so that
the depth of other ones does not matter.
"""

import base64
import collections.abc
import ipaddress
import json
import re
import typing

import attrs
import msgspec

# Exact in every JSON implementation, and far below what 64 bits hold.
MAX_INTEGER = 2**53 - 1
MAX_NUMBER = 1e13  # as milliseconds of Unix time, until the year 2286
MAX_NAME_LENGTH = 255  # characters; names are sent in headers and in digests
MAX_TEXT_LENGTH = 4096  # characters
MAX_LOGGED_LENGTH = 80  # characters of a key in a log line
_PORT = re.compile(r"[1-9][0-9]{0,4}", re.ASCII)

# Types of fields that msgspec decodes.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Number = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
# Ages and times may be negative, as clocks of two processes differ.
Seconds = typing.Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

T = typing.TypeVar("T")
REQUIRED: typing.Any = object()


class DecodeError(ValueError):
    """Report malformed data; the message does not repeat its content."""


def read_json(data: bytes) -> typing.Any:
    """Return the decoded JSON, of which no value is checked."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"not JSON: {type(error).__name__}") from error


def read_object(data: bytes) -> "Object":
    """Return the fields of a JSON object."""
    return Object.of(read_json(data))


def decode(
    decoder: msgspec.json.Decoder | msgspec.msgpack.Decoder, data: bytes
) -> typing.Any:
    """Return a value of the decoder's type."""
    try:
        return decoder.decode(data)
    except (ValueError, RecursionError) as error:
        # Messages of msgspec name the place and the type, no content.
        is_known = isinstance(error, msgspec.MsgspecError)
        raise DecodeError(str(error) if is_known else type(error).__name__) from error


def check_encodable(value: typing.Any) -> str:
    """Return a text of any length that can be encoded."""
    if not isinstance(value, str):
        raise DecodeError(f"expected text, got {type(value).__name__}")
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise DecodeError("expected text of valid characters") from error
    return value


def check_base64(value: typing.Any) -> bytes:
    """Return the bytes of a text in base64."""
    try:
        return base64.b64decode(check_encodable(value), validate=True)
    except ValueError as error:
        raise DecodeError("expected base64") from error


def check_text(value: typing.Any, max_length: int = MAX_TEXT_LENGTH) -> str:
    """Return a text of printable characters, which any encoding of Unicode accepts."""
    if not isinstance(value, str) or not value.isprintable():
        raise DecodeError(f"expected printable text, got {type(value).__name__}")
    if len(value) > max_length:
        raise DecodeError(f"expected up to {max_length} characters, got {len(value)}")
    return value


def check_name(value: typing.Any) -> str:
    """Return a non-empty name."""
    name = check_text(value, MAX_NAME_LENGTH)
    if not name:
        raise DecodeError("expected a name, got an empty text")
    return name


def check_integer(
    value: typing.Any, minimum: int = 0, maximum: int = MAX_INTEGER
) -> int:
    """Return an integer in a range; one that is written with a fraction of 0 counts."""
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if type(value) is not int:
        raise DecodeError(f"expected an integer, got {type(value).__name__}")
    if not minimum <= value <= maximum:
        raise DecodeError(f"expected an integer from {minimum} to {maximum}")
    return value


def check_number(
    value: typing.Any, minimum: float = 0.0, maximum: float = MAX_NUMBER
) -> float:
    """Return a finite number in a range."""
    if type(value) not in (int, float):
        raise DecodeError(f"expected a number, got {type(value).__name__}")
    # The comparison excludes NaN, and converts no integer that is too large.
    if not minimum <= value <= maximum:
        raise DecodeError(f"expected a number from {minimum:g} to {maximum:g}")
    return float(value)


def check_address(value: typing.Any) -> str:
    """Return an ``ip:port`` of IPv4, which needs no name look-up."""
    host, _, port = check_name(value).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise DecodeError("expected IP:PORT, got another host") from error
    if not _PORT.fullmatch(port) or int(port) > 65535:
        raise DecodeError("expected IP:PORT with a port from 1 to 65535")
    return value


def check_list(value: typing.Any) -> list[typing.Any]:
    """Return a list, of which no value is checked."""
    if not isinstance(value, list):
        raise DecodeError(f"expected a list, got {type(value).__name__}")
    return value


def _check_flag(value: typing.Any) -> bool:
    if not isinstance(value, bool):
        raise DecodeError(f"expected true or false, got {type(value).__name__}")
    return value


@attrs.frozen
class Object:
    """Check the fields of a JSON object; null stands for a missing optional field."""

    values: dict[str, typing.Any]

    @classmethod
    def of(cls, value: typing.Any) -> "Object":
        """Return the fields of a decoded value."""
        if not isinstance(value, dict):
            raise DecodeError(f"expected an object, got {type(value).__name__}")
        return cls(value)

    def get(
        self,
        field: str,
        check: collections.abc.Callable[..., T],
        *limits: float,
        default: typing.Any = REQUIRED,
    ) -> T:
        """Return a field that passes the check, or the default if it is missing."""
        value = self.values.get(field)
        if value is None and default is not REQUIRED:
            return default
        try:
            return check(value, *limits)
        except DecodeError as error:
            raise DecodeError(f"{loggable(field)}: {error}") from error

    def text(self, field: str, default: str = REQUIRED) -> str:
        """Return a text, which may be empty."""
        return self.get(field, check_text, default=default)

    def name(self, field: str, default: str = REQUIRED) -> str:
        """Return a non-empty name."""
        return self.get(field, check_name, default=default)

    def address(self, field: str) -> str:
        """Return an ``ip:port``."""
        return self.get(field, check_address)

    def integer(
        self,
        field: str,
        minimum: int = 0,
        maximum: int = MAX_INTEGER,
        default: int | None = REQUIRED,
    ) -> int:
        """Return an integer in a range."""
        return self.get(field, check_integer, minimum, maximum, default=default)

    def number(self, field: str, default: float = REQUIRED) -> float:
        """Return a number from 0 to ``MAX_NUMBER``."""
        return self.get(field, check_number, default=default)

    def map(
        self, field: str, check: collections.abc.Callable[..., T], *limits: float
    ) -> dict[str, T]:
        """Return the checked values by name of an object, none if it is missing."""
        fields = self.object(field, default=EMPTY)
        return {
            check_encodable(name): fields.get(name, check, *limits)
            for name in fields.values
        }

    def flag(self, field: str) -> bool:
        """Return a truth value, False if it is missing."""
        return self.get(field, _check_flag, default=False)

    def objects(self, field: str, default: list["Object"] = REQUIRED) -> list["Object"]:
        """Return the objects of a list."""
        return self.get(field, _check_objects, default=default)

    def object(self, field: str, default: "Object" = REQUIRED) -> "Object":
        """Return the fields of an object."""
        return self.get(field, Object.of, default=default)


def _check_objects(value: typing.Any) -> list[Object]:
    return [Object.of(each) for each in check_list(value)]


EMPTY = Object({})


def loggable(name: str) -> str:
    """Return the start of a key that may hold any characters, for a log line."""
    return ascii(name[:MAX_LOGGED_LENGTH])[1:-1]
