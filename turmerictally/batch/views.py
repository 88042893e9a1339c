"""Show files and jobs in the shapes that model clients expect."""

from turmerictally import errors
from turmerictally.batch import files, reading, records

OUTPUT_PREFIX = "file-output-"
ERROR_PREFIX = "file-errors-"


def file(record: records.File) -> dict:
    """Return a file object; invalid lines are listed by number."""
    return {
        "id": record.id,
        "object": "file",
        "bytes": record.size,
        "created_at": int(record.created_at),
        "expires_at": int(record.expires_at),
        "filename": record.filename,
        "purpose": "batch",
        "status": "processed",
        "status_details": _bad_lines(record),
    }


def batch(progress: reading.Progress) -> dict:
    """Return a batch object; times are in whole Unix seconds."""
    job, counts = progress.job, progress.counts
    state = job.state
    done = counts.completed + counts.failed
    status = state.value
    if state is records.JobState.IN_PROGRESS and done == counts.total:
        status = "finalizing"
    return {
        "id": job.id,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": None,
        "input_file_id": job.file,
        "completion_window": f"{round(job.deadline - job.created_at)}s",
        "status": status,
        "output_file_id": f"{OUTPUT_PREFIX}{job.id}" if counts.completed else None,
        "error_file_id": f"{ERROR_PREFIX}{job.id}" if counts.failed else None,
        "created_at": int(job.created_at),
        "in_progress_at": int(job.created_at),
        "expires_at": int(job.deadline),
        "finalizing_at": _time(job.finished_at),
        "completed_at": _when(job, records.JobState.COMPLETED),
        "failed_at": None,
        "expired_at": None,
        "cancelling_at": _time(job.cancelled_at),
        "cancelled_at": _when(job, records.JobState.CANCELLED),
        "request_counts": {
            "total": counts.total,
            "completed": counts.completed,
            "failed": counts.failed,
        },
        "metadata": job.metadata,
    }


def result_file(file_id: str) -> tuple[str, bytes] | None:
    """Return the job id and line tag of a result file's id, or None."""
    if file_id.startswith(OUTPUT_PREFIX):
        return file_id.removeprefix(OUTPUT_PREFIX), reading.OUTPUT
    if file_id.startswith(ERROR_PREFIX):
        return file_id.removeprefix(ERROR_PREFIX), reading.ERROR
    return None


def window_s(text: str) -> float:
    """Return a completion window such as ``24h``, ``90m`` or ``30s`` in seconds."""
    units = {"h": 3600.0, "m": 60.0, "s": 1.0}
    number, unit = text[:-1], text[-1:]
    if unit not in units or not number.isdigit():
        message = "completion_window must be a number of hours such as 24h."
        raise errors.Error(errors.Kind.BAD_REQUEST, message, param="completion_window")
    return int(number) * units[unit]


def _bad_lines(record: records.File) -> str | None:
    if not record.bad:
        return None
    shown = [f"Line {bad.line}: {bad.reason}." for bad in record.bad]
    return " ".join(shown[: files.MAX_BAD_LINES])


def _time(at: float | None) -> int | None:
    return None if at is None else int(at)


def _when(job: records.Job, state: records.JobState) -> int | None:
    return _time(job.finished_at) if job.state is state else None
