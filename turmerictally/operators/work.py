"""Endpoints for batch jobs and the status of a host."""

import quart

from turmerictally.batch import jobs, reading, views

blueprint = quart.Blueprint("work", __name__)

MAX_JOBS = 1000


def _host():
    return quart.current_app.extensions["host"]


@blueprint.get("/v1/jobs")
async def list_jobs() -> dict:
    """List the unfinished jobs by deadline, or the jobs of one team."""
    host = _host()
    team = quart.request.args.get("team", "")
    if team:
        team_jobs = await jobs.page(host.batch, team, limit=MAX_JOBS)
        rows = [
            {"id": j.id, "team": j.team, "state": j.state.value, "items": j.items}
            | {"deadline": j.deadline}
            for j in team_jobs
        ]
        return {"data": rows}
    rate = host.executor.chooser.fleet_rate()
    outlooks = await reading.overview(host.batch, rate, limit=MAX_JOBS)
    return {"data": [_describe(outlook) for outlook in outlooks]}


def _describe(outlook: reading.Outlook) -> dict:
    ready = outlook.ready
    return {
        "id": ready.job,
        "team": ready.team,
        "state": "in_progress",
        "items": ready.items,
        "done": outlook.done,
        "deadline": ready.deadline,
        "expected_finish": outlook.forecast.finish,
        "late_s": outlook.forecast.late_s,
    }


@blueprint.get("/v1/jobs/<team>/<job_id>")
async def show_job(team: str, job_id: str) -> dict:
    """Show one job with its progress."""
    progress = await reading.progress(_host().batch, team, job_id)
    return views.batch(progress) | {"team": team, "deadline": progress.job.deadline}


@blueprint.post("/v1/jobs/<team>/<job_id>/cancel")
async def cancel_job(team: str, job_id: str) -> dict:
    """Cancel one job."""
    host = _host()
    await host.executor.cancel(host.peers, team, job_id)
    progress = await reading.progress(host.batch, team, job_id)
    return views.batch(progress) | {"team": team}


@blueprint.get("/v1/status")
async def status() -> dict:
    """Summarize the state of this host and of the fleet as known to it."""
    host = _host()
    replica = host.configuration.replica
    members = host.configuration.members
    return {
        "host": host.settings.host_id,
        "ready": host.readiness() or "ready",
        "config_version": replica.view.version,
        "config_age_s": replica.age(),
        "hosts_live": 1 + len(members.live()),
        "servers": len(host.online.servers.by_address),
        "teams": len(replica.view.contracts),
        "limit_slots_held": len(host.limits.leases.held_slots),
        "limits": _counters(host.limits.limiter.counters),
        "batch": _counters(host.executor.tally),
        "batch_yielded": host.online.gate.preempted_total,
    }


def _counters(value) -> dict:
    return {name: getattr(value, name) for name in value.__slots__ if name[0] != "_"}
