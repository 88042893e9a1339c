"""Serve the batch API's job endpoints."""

import quart

from turmerictally import errors
from turmerictally.batch import jobs, reading, views
from turmerictally.frontend import auth, bodies, files, models, services

blueprint = quart.Blueprint("batches", __name__)

ENDPOINTS = (models.CHAT_PATH, models.COMPLETIONS_PATH)
MAX_METADATA_ENTRIES = 16


@blueprint.post("/v1/batches")
async def create() -> tuple[dict, int]:
    """Create a job."""
    components = services.current()
    with auth.team_session() as identity:
        value = await bodies.read_json()
        request = _read_request(value)
        job = await jobs.create(
            components.batch, components.settings, identity.contract, request
        )
        components.executor.notify()
        progress = await reading.progress(components.batch, identity.team, job.id)
        return views.batch(progress), 200


@blueprint.get("/v1/batches")
async def list_batches() -> dict:
    """List the team's jobs."""
    batch_store = services.current().batch
    with auth.team_session() as identity:
        after, limit = files.page_arguments()
        team_jobs = await jobs.page(
            batch_store, identity.team, after=after, limit=limit + 1
        )
        descriptions = []
        for job in team_jobs[:limit]:
            progress = await reading.progress(batch_store, identity.team, job.id)
            descriptions.append(views.batch(progress))
        listing = files.page(descriptions, limit)
        return listing | {"has_more": len(team_jobs) > limit}


@blueprint.get("/v1/batches/<job_id>")
async def show(job_id: str) -> dict:
    """Describe one job."""
    with auth.team_session() as identity:
        batch_store = services.current().batch
        return views.batch(await reading.progress(batch_store, identity.team, job_id))


@blueprint.post("/v1/batches/<job_id>/cancel")
async def cancel(job_id: str) -> dict:
    """Cancel one job."""
    components = services.current()
    with auth.team_session() as identity:
        await components.executor.cancel(components.peers, identity.team, job_id)
        progress = await reading.progress(components.batch, identity.team, job_id)
        return views.batch(progress)


def _read_request(value: object) -> jobs.Request:
    if not isinstance(value, dict):
        raise bodies.bad_request("The body must be a JSON object.")
    for name in ("input_file_id", "endpoint", "completion_window"):
        if not isinstance(value.get(name), str):
            raise bodies.bad_request(f"{name} must be a text.", name)
    view = services.current().replica.view
    endpoint = value["endpoint"]
    if endpoint not in ENDPOINTS and endpoint not in view.routes:
        raise bodies.bad_request("The endpoint is not served.", "endpoint")
    return jobs.Request(
        file=value["input_file_id"],
        endpoint=endpoint,
        window_s=views.window_s(value["completion_window"]),
        metadata=_read_metadata(value.get("metadata") or {}),
        idempotency_key=models.read_idempotency_key(),
    )


def _read_metadata(value: object) -> dict[str, str]:
    is_text_map = isinstance(value, dict) and all(
        isinstance(name, str) and isinstance(text, str) for name, text in value.items()
    )
    if not is_text_map or len(value) > MAX_METADATA_ENTRIES:
        raise errors.Error(
            errors.Kind.BAD_REQUEST,
            "metadata must map texts to texts.",
            param="metadata",
        )
    return value
