"""Call an entry host's operator listener."""

import json
import os
import sys
import typing

import httpx

from turmerictally import httpclient

EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_UNREACHABLE = 3
TIMEOUT_S = 30.0
URL_VARIABLE = "TURMERICTALLY_OPERATOR"
KEY_VARIABLE = "TURMERICTALLY_OPERATOR_KEY"


def call(
    method: str,
    path: str,
    operator: str | None,
    operator_key: str | None,
    *,
    body: dict | None = None,
    params: dict | None = None,
) -> typing.Any:
    """Return the decoded answer, or print why there is none and exit."""
    url = operator or os.environ.get(URL_VARIABLE, "")
    key = operator_key or os.environ.get(KEY_VARIABLE, "")
    if not url or not key:
        fail(
            EXIT_INVALID,
            f"Give --operator and --operator-key, or set {URL_VARIABLE} "
            f"and {KEY_VARIABLE}.",
        )
    try:
        with httpclient.sync_client(timeout=TIMEOUT_S) as client:
            response = client.request(
                method,
                url.rstrip("/") + path,
                json=body,
                params=params,
                headers={"authorization": f"Bearer {key}"},
            )
    except (httpx.HTTPError, httpx.InvalidURL) as error:
        fail(EXIT_UNREACHABLE, f"The operator listener is unreachable: {error}")
    return _decode(response)


def _decode(response: httpx.Response) -> typing.Any:
    if response.headers.get("content-type", "").startswith("text/plain"):
        return response.text
    try:
        value = response.json()
    except ValueError:
        fail(EXIT_UNREACHABLE, f"Unexpected answer with status {response.status_code}.")
    if response.status_code >= 400:
        error = value.get("error", {})
        fail(EXIT_REFUSED, f"{error.get('code')}: {error.get('message')}")
    return value


def fail(status: int, message: str) -> typing.NoReturn:
    """Print a message to standard error and exit."""
    print(message, file=sys.stderr)
    sys.exit(status)


def show(value: typing.Any, as_json: bool) -> None:
    """Print rows as a table, an object as lines, or either as JSON."""
    if as_json:
        print(json.dumps(value, indent=2))
    elif isinstance(value, list):
        print(table(value))
    else:
        width = max((len(name) for name in value), default=0)
        for name, item in value.items():
            print(f"{name.ljust(width)}  {_cell(item)}")


def table(rows: list[dict]) -> str:
    """Return rows as a text table with a heading."""
    if not rows:
        return "(none)"
    names = list(rows[0])
    cells = [names] + [[_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(len(line[at]) for line in cells) for at in range(len(names))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def _cell(value: typing.Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "-"
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)
