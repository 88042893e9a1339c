"""Access the platform's row store over HTTP."""

import base64
import binascii
import typing
import urllib.parse

import attrs

from turmerictally.entry import decoding, json_client, network
from turmerictally.store import rows

MALFORMED = (KeyError, TypeError, ValueError, AttributeError, binascii.Error)
VERSION = "schemaVersion"  # despite its name, of the row or the store
NOW = "nowMs"
# Added to a long poll's wait for its timeout: several times the store's typical
# response time of 4 ms, and enough when the store is 60 times slower.
POLL_MARGIN_S = 0.7


@attrs.define
class RowStore:
    """Implement ``rows.RowStore``."""

    client: json_client.JsonClient

    async def transact(
        self,
        expected: dict[rows.Address, int],
        puts: dict[rows.Address, bytes | None],
    ) -> rows.Commit:
        """Change rows in one transaction."""
        body = {
            "expect": [
                _address_fields(address) | {"schemaVersion": version}
                for address, version in expected.items()
            ],
            "put": [
                _address_fields(address) | {"value": base64.b64encode(value).decode()}
                for address, value in puts.items()
                if value is not None
            ],
            "remove": [
                _address_fields(a) for a, value in puts.items() if value is None
            ],
        }
        response = await self.client.request(
            b"POST", b"/-/rows-tx", body, is_write=True, accepted_statuses=(412,)
        )
        try:
            if response.status == 412:
                raise rows.ConflictError([_row(row) for row in response.body["rows"]])
            commit = decoding.Object.of(response.body)
            return rows.Commit(commit.integer(VERSION), commit.number(NOW) / 1000)
        except MALFORMED as error:
            raise rows.UnavailableError("bad answer", maybe_applied=True) from error

    async def read(
        self,
        name: str,
        part: str,
        *,
        start: str = "",
        end: str = "",
        limit: int = 500,
    ) -> rows.Page:
        """Read rows of one part in key order."""
        params = {"table": name, "part": part, "limit": limit}
        if start:
            params["from"] = start
        if end:
            params["to"] = end
        response = await self.client.request(b"GET", _target("/-/rows-get", params))
        return _page(response.body)

    async def changes(self, name: str, *, after: int, wait_s: float) -> rows.Page:
        """Return the rows changed after a version; wait up to ``wait_s`` for one."""
        params = {"table": name, "after": after, "waitMs": round(wait_s * 1000)}
        response = await self.client.request(
            b"GET",
            _target("/-/rows-feed", params),
            accepted_statuses=(410,),
            timeout_s=wait_s + POLL_MARGIN_S,
        )
        if response.status == 410:
            raise rows.HistoryLostError(name)
        return _page(response.body)

    def close(self) -> None:
        """Close the idle connections."""
        self.client.close()


def connect(address: str, timeout_s: float, sockets: network.Network) -> RowStore:
    """Return a client of the row store."""
    return RowStore(json_client.connect(address, timeout_s, sockets))


def _target(path: str, params: dict[str, typing.Any]) -> bytes:
    # Keys of other writers may hold lone surrogates.
    query = urllib.parse.urlencode(params, errors="surrogatepass")
    return f"{path}?{query}".encode()


def _address_fields(address: rows.Address) -> dict[str, str]:
    return {"table": address.table, "part": address.part, "key": address.key}


def _page(body: typing.Any) -> rows.Page:
    try:
        page = decoding.Object.of(body)
        return rows.Page(
            rows=[_row(row) for row in page.get("rows", decoding.check_list)],
            version=page.integer(VERSION),
            now_s=page.number(NOW) / 1000,
            more=page.flag("hasMore"),
        )
    except MALFORMED as error:
        raise rows.UnavailableError("bad answer") from error


def _row(body: dict) -> rows.Row:
    address = rows.Address(body["table"], body.get("part", ""), body["key"])
    if not all(isinstance(name, str) for name in attrs.astuple(address)):
        raise TypeError("an address holds other values than text")
    deleted = bool(body.get("tombstone"))
    version = decoding.check_integer(body.get(VERSION, 0))
    if deleted or body.get("value") is None:
        return rows.Row(address, None, version)
    return rows.Row(address, base64.b64decode(body["value"]), version)
