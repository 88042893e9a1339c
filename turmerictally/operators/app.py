"""Build the operators' HTTP application and its configuration endpoints."""

import logging
import typing

import cattrs
import quart
import quart_trio
import werkzeug.exceptions

from turmerictally import errors
from turmerictally.config import model
from turmerictally.frontend import app as frontend
from turmerictally.frontend import bodies
from turmerictally.operators import auth, fleet, insight, orders, work

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 256 * 1024
DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1000


def make_app(host: typing.Any) -> quart_trio.QuartTrio:
    """Return the application that serves the operators' API."""
    app = quart_trio.QuartTrio("turmerictally.operators")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    app.extensions["host"] = host
    app.before_request(_authenticate)
    app.register_error_handler(errors.Error, frontend.error_response)
    app.register_error_handler(
        werkzeug.exceptions.HTTPException, frontend.http_error_response
    )
    app.register_error_handler(Exception, frontend.unexpected_error_response)
    app.register_blueprint(blueprint)
    app.register_blueprint(fleet.blueprint)
    app.register_blueprint(work.blueprint)
    app.register_blueprint(insight.blueprint)
    app.register_blueprint(orders.blueprint)
    return app


blueprint = quart.Blueprint("configuration", __name__)


async def _authenticate() -> None:
    header = quart.request.headers.get("authorization", "")
    config = quart.current_app.extensions["host"].settings
    quart.g.operator = auth.authenticate(config, header)


def _operations():
    return quart.current_app.extensions["host"].configuration.operations


@blueprint.get("/v1/contracts")
async def list_contracts() -> dict:
    """List every contract."""
    return _list_items(model.ItemKind.CONTRACT)


@blueprint.get("/v1/contracts/<team>")
async def show_contract(team: str) -> dict:
    """Show one contract with its version."""
    return _show_item(model.ItemKind.CONTRACT, team)


@blueprint.put("/v1/contracts/<team>")
async def put_contract(team: str) -> dict:
    """Create or change one contract."""
    return await _put_item(model.Contract, {"team": team})


@blueprint.delete("/v1/contracts/<team>")
async def remove_contract(team: str) -> dict:
    """Remove one contract."""
    return await _remove_item(model.ItemKind.CONTRACT, team)


@blueprint.get("/v1/keys")
async def list_keys() -> dict:
    """List all keys or one team's keys, without their digests."""
    team = quart.request.args.get("team", "")
    keys = _operations().list(model.ItemKind.KEY)
    rows = [{"id": k.id, "team": k.team} for k in keys if team in ("", k.team)]
    return {"data": rows}


@blueprint.post("/v1/keys")
async def give_key() -> dict:
    """Create a key; only this response contains its secret."""
    value = await _read_object()
    team = value.get("team")
    if not isinstance(team, str):
        raise bodies.bad_request("team must be a text.", "team")
    created = await _operations().give_key(quart.g.operator, team)
    return {
        "id": created.secret.key.id,
        "team": team,
        "key": created.secret.text,
        "outcome": cattrs.unstructure(created.outcome),
    }


@blueprint.delete("/v1/keys/<key_id>")
async def withdraw_key(key_id: str) -> dict:
    """Revoke one key."""
    outcome = await _operations().withdraw_key(quart.g.operator, key_id)
    return {"outcome": cattrs.unstructure(outcome)}


@blueprint.get("/v1/services")
async def list_services() -> dict:
    """List every service."""
    return _list_items(model.ItemKind.SERVICE)


@blueprint.put("/v1/services/<name>")
async def put_service(name: str) -> dict:
    """Create or change one service."""
    return await _put_item(model.Service, {"name": name})


@blueprint.delete("/v1/services/<name>")
async def remove_service(name: str) -> dict:
    """Remove one service."""
    return await _remove_item(model.ItemKind.SERVICE, name)


@blueprint.get("/v1/routes")
async def list_routes() -> dict:
    """List every route."""
    return _list_items(model.ItemKind.ROUTE)


@blueprint.put("/v1/routes/<path:path>")
async def put_route(path: str) -> dict:
    """Create or change one route."""
    return await _put_item(model.Route, {"path": f"/{path}"})


@blueprint.delete("/v1/routes/<path:path>")
async def remove_route(path: str) -> dict:
    """Remove one route."""
    return await _remove_item(model.ItemKind.ROUTE, f"/{path}")


@blueprint.put("/v1/servers/<address>")
async def put_server(address: str) -> dict:
    """Change the settings of one backend server."""
    return await _put_item(model.Server, {"address": address})


@blueprint.get("/v1/config/status")
async def show_config_status() -> dict:
    """Show the rollout status of a change, by default of the newest one."""
    version = quart.request.args.get("version", "0")
    if not version.isdigit():
        raise bodies.bad_request("version must be a whole number.", "version")
    outcome = await _operations().status(int(version))
    return {"outcome": cattrs.unstructure(outcome)}


@blueprint.get("/v1/audit")
async def list_audit() -> dict:
    """List the audit trail."""
    trail = quart.current_app.extensions["host"].configuration.trail
    after, limit = page_arguments()
    page = await trail.list(after=after, limit=limit)
    entries = [cattrs.unstructure(entry) for entry in page.entries]
    return {"data": entries, "next": page.after}


def page_arguments() -> tuple[str, int]:
    """Return the cursor and page size from the query parameters."""
    limit = quart.request.args.get("limit", str(DEFAULT_PAGE_SIZE))
    if not limit.isdigit() or not 0 < int(limit) <= MAX_PAGE_SIZE:
        raise bodies.bad_request(f"limit must be from 1 to {MAX_PAGE_SIZE}.", "limit")
    return quart.request.args.get("after", ""), int(limit)


def _list_items(kind: model.ItemKind) -> dict:
    items = _operations().list(kind)
    return {"data": [cattrs.unstructure(item) for item in items]}


def _show_item(kind: model.ItemKind, name: str) -> dict:
    item, version = _operations().show(kind, name)
    return cattrs.unstructure(item) | {"version": version}


async def _put_item(type_: type, path_fields: dict) -> dict:
    value = await _read_object()
    expected_version = value.pop("expected_version", None)
    item = _structure(type_, value | path_fields)
    outcome = await _operations().put(quart.g.operator, item, expected_version)
    return {"outcome": cattrs.unstructure(outcome)}


async def _remove_item(kind: model.ItemKind, name: str) -> dict:
    version = quart.request.args.get("expected_version")
    expected_version = int(version) if version and version.isdigit() else None
    outcome = await _operations().remove(quart.g.operator, kind, name, expected_version)
    return {"outcome": cattrs.unstructure(outcome)}


_strict_converter = cattrs.Converter(forbid_extra_keys=True)


def _structure(type_: type, value: dict):
    try:
        return _strict_converter.structure(value, type_)
    except (cattrs.BaseValidationError, TypeError, ValueError) as error:
        if isinstance(error, cattrs.BaseValidationError):
            faults = "; ".join(cattrs.transform_error(error))
        else:
            faults = str(error)
        raise bodies.bad_request(f"{faults}.") from error


async def _read_object() -> dict:
    value = await bodies.read_json()
    if not isinstance(value, dict):
        raise bodies.bad_request("The body must be a JSON object.")
    return value
