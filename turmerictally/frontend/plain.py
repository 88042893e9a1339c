"""Serve services other than models under their configured routes."""

import quart

from turmerictally import errors
from turmerictally.config import model
from turmerictally.frontend import auth, models, services
from turmerictally.online import messages

blueprint = quart.Blueprint("plain", __name__)

METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


@blueprint.route("/<path:path>", methods=METHODS)
async def serve(path: str) -> quart.Response:
    """Forward a request to the service of the longest matching route."""
    components = services.current()
    route = find_route(components.replica.view, f"/{path}")
    identity = None if route and route.open else auth.authenticate()
    if route is None:
        raise errors.Error(errors.Kind.NOT_FOUND)
    deadline = models.read_deadline()
    body = await quart.request.get_data(cache=False)
    session = auth.open_session(identity)
    try:
        if identity is not None:
            await components.limiter.admit(identity.contract, deadline=deadline)
            components.metrics.count_admitted(identity.team)
        request = _request(route, session, deadline, body)
        server_response = await components.pipeline.run(request)
        return models.respond(server_response, session)
    except BaseException:
        session.close()
        raise


def find_route(view: model.View, path: str) -> model.Route | None:
    """Return the route with the longest path that is a prefix of ``path``."""
    while path:
        route = view.routes.get(path) or view.routes.get(f"{path}/")
        if route is not None:
            return route
        path = path.rpartition("/")[0]
    return view.routes.get("/")


def _request(
    route: model.Route, session: auth.Session, deadline: float, body: bytes
) -> messages.Request:
    request = quart.request
    return messages.Request(
        request_id=quart.g.request_id,
        team=session.team,
        contract=session.contract,
        service=route.service,
        method=request.method,
        path=request.path,
        query=request.query_string.decode("latin-1"),
        deadline=deadline,
        headers=tuple(request.headers.items()),
        body=body,
        idempotent=request.method in route.idempotent_methods,
        idempotency_key=models.read_idempotency_key() if session.team else "",
        withdrawn=session.withdrawn,
    )
