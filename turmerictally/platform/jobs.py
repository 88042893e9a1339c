"""Decode requests on batch jobs and encode their responses."""

import base64
import binascii
import json
import re
import urllib.parse

from turmerictally.entry import batch_requests, jobs, messages

RESULTS_PATH = re.compile(r"/-/lots/([^/?]+)$")
ITEM_PATH = re.compile(r"/-/items/([^/?]+)$")
MALFORMED = (KeyError, TypeError, ValueError, AttributeError, binascii.Error)
# Final states of an item, as written in responses.
STATES = {True: "succeeded", False: "dead_letter"}


def read_batch_request(request: messages.Request) -> batch_requests.BatchRequest | None:
    """Decode a request on a batch job; return None for any other request."""
    query = dict(urllib.parse.parse_qsl(request.query))
    matched = RESULTS_PATH.match(request.path)
    if matched and request.method == b"GET":
        after = query.get("after", "0")
        position = int(after) if after.isdigit() else 0
        return batch_requests.ResultsRequest(matched[1], position, request.poll_wait_s)
    if matched and request.method == b"DELETE":
        return batch_requests.CancelRequest(matched[1])
    matched = ITEM_PATH.match(request.path)
    if matched and request.method == b"GET":
        return batch_requests.ItemBodyRequest(matched[1], query.get("id", ""))
    return None


def read_items(body: bytes) -> list[jobs.Item]:
    """Return the items of a submitted job; raise ``ValueError`` if malformed."""
    try:
        return [
            jobs.Item(
                id=str(item["id"]),
                path=str(item["path"]),
                headers={str(k): str(v) for k, v in item["headers"].items()},
                body=base64.b64decode(item["body"], validate=True),
                # Sum of the prompt tokens and the maximum output tokens.
                tokens=int(item["tokenCount"]),
            )
            for item in json.loads(body)["items"]
        ]
    except MALFORMED as error:
        raise ValueError(f"not a batch job: {error!r}") from error


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
