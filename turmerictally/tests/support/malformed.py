"""Shapes of malformed values that other writers may leave in rows and messages."""

import copy
import functools
import json
import operator

PLACEHOLDER = "a malformed value"
NESTED = "[" * 100_000 + "]" * 100_000
# As JSON, since some of them have no equal in Python.
NUMBERS = ("1e999", "NaN", "1" + "0" * 18, "1" + "0" * 30, "1" + "0" * 400, "-1", "1.5")
NUMBERS += ("-1" + "0" * 30, "1" + "0" * 5000, "true", '"8"', "null", "[]", NESTED)
TEXTS = (r'"a\ud800"', r'"a\u0000"', r'"a\r\nb: c"', '""', "null", "7", "[]", NESTED)
TEXTS += (json.dumps("a" * 10_000),)
ADDRESSES = tuple(
    json.dumps(f"10.9.0.9{rest}")
    for rest in (":99999", ":0", ":-1", ":8_0", ": 80", ":80 ", ":٨٠", ":", "", ":8e1")
) + tuple(
    json.dumps(f"{host}:80")
    for host in ("a b", "a.example", "٣.9.0.9", "10.9.0", "010.9.0.9", "10.9.0.9\0")
)
ADDRESSES += TEXTS
VALUES = (*NUMBERS, *ADDRESSES)
KEYS = ("odd\ud800", "odd\0", "odd\r\nb: c", "o" * 10_000, "")


def encode(document, path: tuple = (), value: str = "") -> bytes:
    """Return a document in which one value is replaced by one that is given as JSON."""
    changed = copy.deepcopy(document)
    if not path:
        return json.dumps(changed).encode()
    holder = functools.reduce(operator.getitem, path[:-1], changed)
    holder[path[-1]] = PLACEHOLDER
    return json.dumps(changed).replace(json.dumps(PLACEHOLDER), value).encode()


def label(path: tuple, value: str) -> str:
    """Return a short name of a malformed value."""
    name = ".".join(map(str, path))
    return f"{name}={value[:24]} ({len(value)} characters)"
