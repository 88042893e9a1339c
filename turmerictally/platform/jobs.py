"""Decode requests on batch jobs and encode their responses."""

import re
import urllib.parse

from turmerictally.entry import decoding, http1, jobs, messages

RESULTS_PATH = re.compile(r"/-/lots/([^/?]+)$")
ITEM_PATH = re.compile(r"/-/items/([^/?]+)$")
MAX_HEADER_LENGTH = 16 * 1024  # characters of one header's value
POSITION = re.compile(r"[0-9]{1,15}")
# Final states of an item, as written in responses.
STATES = {True: "succeeded", False: "dead_letter"}


def read_batch_request(request: messages.Request) -> messages.BatchRequest | None:
    """Decode a request on a batch job; return None for any other request."""
    query = dict(urllib.parse.parse_qsl(request.query))
    matched = RESULTS_PATH.match(request.path)
    if matched and request.method == b"GET":
        after = query.get("after", "")
        position = int(after) if POSITION.fullmatch(after) else 0
        return messages.ResultsRequest(matched[1], position, request.poll_wait_s)
    if matched and request.method == b"DELETE":
        return messages.CancelRequest(matched[1])
    matched = ITEM_PATH.match(request.path)
    if matched and request.method == b"GET":
        return messages.ItemBodyRequest(matched[1], query.get("id", ""))
    return None


def read_items(body: bytes) -> list[jobs.Item]:
    """Return the items of a submitted job; raises ``decoding.DecodeError``."""
    items = [_item(fields) for fields in decoding.read_object(body).objects("items")]
    if len({item.id for item in items}) < len(items):
        raise decoding.DecodeError("items: expected different ids")
    return items


def _item(fields: decoding.Object) -> jobs.Item:
    headers = fields.object("headers")
    item = jobs.Item(
        id=fields.name("id"),
        path=fields.text("path"),
        headers={
            decoding.check_name(name): headers.get(
                name, decoding.check_text, MAX_HEADER_LENGTH
            )
            for name in headers.values
        },
        body=fields.get("body", decoding.check_base64),
        # Sum of the prompt tokens and the maximum output tokens.
        tokens=fields.integer("tokenCount", 0, jobs.MAX_ITEM_TOKENS),
    )
    jobs.check_id(item.id)
    try:
        request = item_request(item, "")
        http1.write_request_head(request.method, request.target, request.headers)
    except (UnicodeEncodeError, http1.ProtocolError) as error:
        raise decoding.DecodeError("path, headers: expected those of HTTP") from error
    return item


def write_results(total: int, after: int, results: list[jobs.Result]) -> dict:
    """Return the body of a response that lists results."""
    return {
        "total": total,
        "next": after + len(results),
        "results": [
            {"id": r.id, "state": STATES[r.succeeded], "text": r.text} for r in results
        ],
    }


def item_request(item: jobs.Item, hostname: str) -> messages.Request:
    """Return the request to a backend server for an item."""
    headers = [(b"Host", hostname.encode()), (b"X-Request-Id", item.id.encode())]
    headers += [(n.encode(), v.encode("latin-1")) for n, v in item.headers.items()]
    parts = item.headers.get("X-Prompt-Prefix", "").split(",")
    return messages.Request(
        method=b"POST",
        target=item.path.encode("latin-1"),
        hostname=hostname,
        request_id=item.id,
        headers=headers,
        prompt_parts=tuple(p.partition(":")[0].strip() for p in parts if p.strip()),
    )
