"""Serve the batch interface's files."""

import collections.abc

import quart
import werkzeug.exceptions
import werkzeug.http
import werkzeug.sansio.multipart

from turmerictally import errors
from turmerictally.batch import files, reading, records, store, views
from turmerictally.frontend import auth, bodies, services

blueprint = quart.Blueprint("files", __name__)

MAX_FIELD_BYTES = 64 * 1024
MAX_FIELDS = 16
DEFAULT_PAGE = 20
MAX_PAGE = 100


@blueprint.post("/v1/files")
async def upload() -> dict:
    """Store an uploaded JSON Lines file."""
    parts = services.current()
    with auth.team_session() as identity:
        form = Form(_boundary())
        async for _ in form.fields_until_file(quart.request.body):
            pass
        record = await files.upload(
            parts.batch,
            parts.settings,
            identity.team,
            form.filename,
            form.content(quart.request.body),
        )
        return views.file(record)


@blueprint.get("/v1/files")
async def list_files() -> dict:
    """List the team's files."""
    with auth.team_session() as identity:
        after, limit = page_arguments()
        kept = services.current().batch
        prefix = f"{records.FILES}{identity.team}/"
        start = f"{prefix}{after}" if after else ""
        rows = await kept.read_for_caller(
            lambda: kept.table.scan(prefix, after=start, limit=limit + 1)
        )
        found = [views.file(records.load(records.File, row.value)) for row in rows]
        return page(found, limit)


@blueprint.get("/v1/files/<file_id>")
async def show_file(file_id: str) -> dict:
    """Describe one file, uploaded or written by a job."""
    with auth.team_session() as identity:
        kept = services.current().batch
        result = views.result_file(file_id)
        if result is None:
            return views.file(await files.get(kept, identity.team, file_id))
        found = await reading.progress(kept, identity.team, result[0])
        return _describe_result(file_id, found)


@blueprint.get("/v1/files/<file_id>/content")
async def file_content(file_id: str) -> quart.Response:
    """Stream a file's bytes."""
    identity = auth.authenticate()
    kept = services.current().batch
    source = _content(kept, identity.team, file_id)
    first = await anext(source, b"")
    session = auth.open_session(identity)
    response = quart.Response(_stream(first, source, session))
    response.content_type = "application/jsonl"
    return response


@blueprint.delete("/v1/files/<file_id>")
async def delete_file(file_id: str) -> dict:
    """Refuse to delete a file; files end with their retention."""
    with auth.team_session() as identity:
        await files.get(services.current().batch, identity.team, file_id)
        raise errors.Error(
            errors.Kind.METHOD_NOT_ALLOWED, "Files are kept until their expiry."
        )


def _content(
    kept: store.Store, team: str, file_id: str
) -> collections.abc.AsyncIterator[bytes]:
    result = views.result_file(file_id)
    if result is None:
        return reading.content(kept, team, file_id)
    return reading.results(kept, team, *result)


async def _stream(first: bytes, source, session: auth.Session):
    try:
        yield first
        async for chunk in source:
            if session.withdrawn.is_set():
                raise errors.Error(errors.Kind.KEY_WITHDRAWN)
            yield chunk
    finally:
        session.close()


def _describe_result(file_id: str, found: reading.Progress) -> dict:
    return {
        "id": file_id,
        "object": "file",
        "bytes": 0,
        "created_at": int(found.job.created_at),
        "filename": f"{file_id}.jsonl",
        "purpose": "batch_output",
        "status": "processed",
    }


def page_arguments() -> tuple[str, int]:
    """Return the cursor and the page size of a listing."""
    given = quart.request.args.get("limit", str(DEFAULT_PAGE))
    if not given.isdigit() or int(given) < 1:
        raise bodies.bad_request("limit must be a whole number above 0.", "limit")
    return quart.request.args.get("after", ""), min(int(given), MAX_PAGE)


def page(found: list[dict], limit: int) -> dict:
    """Return one page in the interface's list shape."""
    data = found[:limit]
    return {
        "object": "list",
        "data": data,
        "first_id": data[0]["id"] if data else None,
        "last_id": data[-1]["id"] if data else None,
        "has_more": len(found) > limit,
    }


def _boundary() -> bytes:
    given = quart.request.headers.get("content-type", "")
    kind, options = werkzeug.http.parse_options_header(given)
    boundary = options.get("boundary", "")
    if kind != "multipart/form-data" or not boundary:
        raise bodies.bad_request("Expected multipart/form-data with a file.")
    try:
        return boundary.encode("ascii")
    except UnicodeEncodeError as error:
        raise bodies.bad_request("The multipart boundary is not valid.") from error


class Form:
    """Read a multipart form up to its file and then stream the file."""

    def __init__(self, boundary: bytes) -> None:
        self.decoder = werkzeug.sansio.multipart.MultipartDecoder(
            boundary, MAX_FIELD_BYTES, max_parts=MAX_FIELDS
        )
        self.fields: dict[str, str] = {}
        self.filename = ""
        self.name = ""
        self.value = b""

    async def fields_until_file(
        self, body: collections.abc.AsyncIterable[bytes]
    ) -> collections.abc.AsyncIterator[str]:
        """Yield the names of the fields before the file."""
        async for event in self._events(body):
            multipart = werkzeug.sansio.multipart
            if isinstance(event, multipart.File):
                self.filename = event.filename
                return
            if isinstance(event, multipart.Field):
                self.name, self.value = event.name, b""
            if isinstance(event, multipart.Data):
                self.value += event.data
                self.fields[self.name] = self.value.decode("utf-8", "replace")
                yield self.name
        raise bodies.bad_request("The form holds no file.", "file")

    async def content(
        self, body: collections.abc.AsyncIterable[bytes]
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield the file's bytes."""
        async for event in self._events(body):
            if isinstance(event, werkzeug.sansio.multipart.Data):
                if event.data:
                    yield event.data
                if not event.more_data:
                    return
        raise bodies.bad_request("The form ends before its file does.", "file")

    async def _events(self, body):
        multipart = werkzeug.sansio.multipart
        while True:
            event = self._next_event()
            if isinstance(event, multipart.Epilogue):
                return
            if not isinstance(event, multipart.NeedData):
                yield event
                continue
            chunk = await anext(aiter(body), None)
            self._receive(chunk)

    def _next_event(self):
        try:
            return self.decoder.next_event()
        except (ValueError, werkzeug.exceptions.RequestEntityTooLarge) as error:
            raise bodies.bad_request("The form is not valid.") from error

    def _receive(self, chunk: bytes | None) -> None:
        try:
            self.decoder.receive_data(chunk)
        except (ValueError, werkzeug.exceptions.RequestEntityTooLarge) as error:
            raise bodies.bad_request("The form is not valid.") from error
