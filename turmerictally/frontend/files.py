"""Serve the batch API's file endpoints."""

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
DEFAULT_PAGE_SIZE = 20
MAX_PAGE_SIZE = 100


@blueprint.post("/v1/files")
async def upload() -> dict:
    """Store an uploaded JSON Lines file."""
    components = services.current()
    with auth.team_session() as identity:
        form = Form(_boundary())
        async for _ in form.fields_until_file(quart.request.body):
            pass
        record = await files.upload(
            components.batch,
            components.settings,
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
        batch_store = services.current().batch
        prefix = f"{records.FILES}{identity.team}/"
        start = f"{prefix}{after}" if after else ""
        rows = await batch_store.read_for_caller(
            lambda: batch_store.table.scan(prefix, after=start, limit=limit + 1)
        )
        descriptions = [
            views.file(records.load(records.File, row.value)) for row in rows
        ]
        return page(descriptions, limit)


@blueprint.get("/v1/files/<file_id>")
async def show_file(file_id: str) -> dict:
    """Describe one uploaded file or one result file of a job."""
    with auth.team_session() as identity:
        batch_store = services.current().batch
        result = views.result_file(file_id)
        if result is None:
            return views.file(await files.get(batch_store, identity.team, file_id))
        progress = await reading.progress(batch_store, identity.team, result[0])
        return _describe_result(file_id, progress)


@blueprint.get("/v1/files/<file_id>/content")
async def file_content(file_id: str) -> quart.Response:
    """Stream a file's bytes."""
    identity = auth.authenticate()
    batch_store = services.current().batch
    source = _content(batch_store, identity.team, file_id)
    first = await anext(source, b"")
    session = auth.open_session(identity)
    response = quart.Response(_stream(first, source, session))
    response.content_type = "application/jsonl"
    return response


@blueprint.delete("/v1/files/<file_id>")
async def delete_file(file_id: str) -> dict:
    """Refuse to delete a file; files are removed at their expiry."""
    with auth.team_session() as identity:
        await files.get(services.current().batch, identity.team, file_id)
        raise errors.Error(
            errors.Kind.METHOD_NOT_ALLOWED, "Files are kept until their expiry."
        )


def _content(
    batch_store: store.Store, team: str, file_id: str
) -> collections.abc.AsyncIterator[bytes]:
    result = views.result_file(file_id)
    if result is None:
        return reading.content(batch_store, team, file_id)
    return reading.results(batch_store, team, *result)


async def _stream(first: bytes, source, session: auth.Session):
    try:
        yield first
        async for chunk in source:
            if session.withdrawn.is_set():
                raise errors.Error(errors.Kind.KEY_WITHDRAWN)
            yield chunk
    finally:
        session.close()


def _describe_result(file_id: str, progress: reading.Progress) -> dict:
    return {
        "id": file_id,
        "object": "file",
        "bytes": 0,
        "created_at": int(progress.job.created_at),
        "filename": f"{file_id}.jsonl",
        "purpose": "batch_output",
        "status": "processed",
    }


def page_arguments() -> tuple[str, int]:
    """Return the cursor and the page size of a listing."""
    limit = quart.request.args.get("limit", str(DEFAULT_PAGE_SIZE))
    if not limit.isdigit() or int(limit) < 1:
        raise bodies.bad_request("limit must be a whole number above 0.", "limit")
    return quart.request.args.get("after", ""), min(int(limit), MAX_PAGE_SIZE)


def page(items: list[dict], limit: int) -> dict:
    """Return one page in the API's list format.

    An item beyond ``limit`` shows that there are more.
    """
    data = items[:limit]
    return {
        "object": "list",
        "data": data,
        "first_id": data[0]["id"] if data else None,
        "last_id": data[-1]["id"] if data else None,
        "has_more": len(items) > limit,
    }


def _boundary() -> bytes:
    content_type = quart.request.headers.get("content-type", "")
    media_type, options = werkzeug.http.parse_options_header(content_type)
    boundary = options.get("boundary", "")
    if media_type != "multipart/form-data" or not boundary:
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
