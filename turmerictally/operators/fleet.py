"""Endpoints that list and manage the fleet's hosts and backend servers."""

import attrs
import quart

from turmerictally import errors
from turmerictally.config import model
from turmerictally.store import table

blueprint = quart.Blueprint("fleet", __name__)


def _host():
    return quart.current_app.extensions["host"]


@blueprint.get("/v1/hosts")
async def list_hosts() -> dict:
    """List the entry hosts with their state and configuration version."""
    configuration = _host().configuration
    status = await configuration.operations.status()
    members = configuration.members
    rows = [_describe(members.me, "live", status.versions)]
    for member in sorted(members.by_id.values(), key=lambda m: m.id):
        rows.append(_describe(member, member.state.name.lower(), status.versions))
    return {"version": status.version, "data": rows}


@blueprint.delete("/v1/hosts/<host_id>")
async def remove_host(host_id: str) -> dict:
    """Remove a host that no longer runs, so that changes do not wait for it."""
    operations = _host().configuration.operations
    removed = await operations.remove_host(quart.g.operator, host_id)
    freed_slots = await _free_slots(host_id)
    if not removed and not freed_slots:
        raise errors.Error(errors.Kind.NOT_FOUND, "No such host.")
    return {"removed": host_id, "limit_slots_freed": freed_slots}


async def _free_slots(host_id: str) -> int:
    try:
        return await _host().limits.leases.release_dead_host(host_id)
    except table.ConflictError as error:
        raise errors.Error(errors.Kind.CONFLICT, "Repeat the removal.") from error
    except table.UnavailableError as error:
        raise errors.Error(errors.Kind.PLATFORM_UNAVAILABLE) from error


@blueprint.get("/v1/servers")
async def list_servers() -> dict:
    """List the backend servers with the load and health that this host observes."""
    online = _host().online
    now = online.poller.clock.monotonic()
    rows = []
    for server in sorted(online.servers.by_address.values(), key=lambda s: s.address):
        rows.append(
            {
                "address": server.address,
                "failure_domain": server.failure_domain,
                "service": server.service,
                "models": list(server.models),
                "takes_work": online.servers.accepts_requests(server.address),
                "healthy": online.router.health.allows(server.address, now),
                "load": round(online.router.loads.load_ratio(server.address, now), 3),
                "batch_owner": server.address in online.gate.owned(),
            }
        )
    return {"data": rows}


@blueprint.post("/v1/servers/<address>/drain")
async def drain_server(address: str) -> dict:
    """Drain one backend server: no new requests are sent to it."""
    return await _set_drained(address, True)


@blueprint.post("/v1/servers/<address>/undrain")
async def undrain_server(address: str) -> dict:
    """Resume sending requests to a drained backend server."""
    return await _set_drained(address, False)


async def _set_drained(address: str, drained: bool) -> dict:
    operations = _host().configuration.operations
    view = _host().configuration.replica.view
    current = view.servers.get(address) or model.Server(address)
    changed = attrs.evolve(current, drained=drained)
    outcome = await operations.put(quart.g.operator, changed)
    return {"outcome": _unstructure(outcome)}


def _unstructure(value):
    return model.converter.unstructure(value)


def _describe(member, state: str, versions: dict[str, int]) -> dict:
    return {
        "id": member.id,
        "failure_domain": member.failure_domain,
        "region": member.region,
        "address": member.address,
        "state": state,
        "config_version": versions.get(member.id),
    }
