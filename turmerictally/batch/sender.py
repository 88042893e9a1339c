"""Send batch items through the online path's connections."""

import collections.abc
import contextlib
import json

import attrs

from turmerictally import clock as clocks
from turmerictally import errors
from turmerictally.batch import capacity, files
from turmerictally.config import model
from turmerictally.online import forward, items, messages, pipeline
from turmerictally.routing import headroom, servers

PLAIN = ""  # the model of items for plain services
JSON_HEADERS = (("content-type", "application/json"),)


@attrs.frozen
class Slot:
    """Hold room at one backend server; ``server`` is its address."""

    server: str
    backend: servers.Server | None = None


@attrs.define
class Gate:
    """Admit items into spare capacity; implements ``capacity.Gate``."""

    inner: headroom.BatchGate
    view: collections.abc.Callable[[], model.View]
    plain_items: int

    def free(self, name: str) -> int:
        """Return how many items of a model may start now."""
        if name == PLAIN:
            return self.plain_items
        return self.inner.free_slots_for_model(name)

    @contextlib.asynccontextmanager
    async def slot(self, name: str) -> collections.abc.AsyncIterator[Slot]:
        """Wait for a slot and hold it until the block ends or must yield."""
        if name == PLAIN:
            yield Slot("")
            return
        if find_service(self.view(), name) is None:
            raise errors.Error(errors.Kind.UNKNOWN_MODEL, param="model")
        async with self.inner.slot(name) as taken:
            with taken.scope:
                yield Slot(taken.server.address, taken.server)


@attrs.define
class Sender:
    """Send one item in its slot and return its whole answer."""

    pipeline: pipeline.Pipeline
    view: collections.abc.Callable[[], model.View]
    clock: clocks.Clock
    item_timeout_s: float
    took: collections.abc.Callable[[float], None] = lambda seconds: None
    sent: int = 0
    model_items: items.ItemSender = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        path = self.pipeline
        self.model_items = items.ItemSender(
            path.forwarder,
            path.engines,
            path.router.loads,
            self.clock,
            path.cancel_engine,
        )

    async def send(self, item: files.Item, slot: capacity.Slot) -> capacity.ItemResult:
        """Send an item; raises ``errors.Error`` with a true ``ran``."""
        self.sent += 1
        started_at = self.clock.monotonic()
        request = self._request(item)
        if slot.backend is None:
            answer = await self.pipeline.run(request)
        else:
            answer = await self._send_to(item, request, slot.backend)
        self.took(self.clock.monotonic() - started_at)
        return capacity.ItemResult(answer.status, _decode(answer.body))

    async def _send_to(
        self, item: files.Item, request: messages.Request, server: servers.Server
    ) -> messages.Response:
        key = f"{id(item)}/{item.index}/{item.custom_id}"
        try:
            answer = await self.model_items.send(request, server, key)
        except forward.AttemptError as error:
            raise self._failure(error) from error
        if answer.status in pipeline.RETRY_STATUSES:
            detail = f"Status {answer.status}."
            raise errors.Error(errors.Kind.BACKEND_SERVER_ERROR, detail)
        return answer

    def _failure(self, error: forward.AttemptError) -> errors.Error:
        ran = errors.Ran.MAY_HAVE_RUN if error.sent else errors.Ran.NOT_RUN
        return errors.Error(error.kind, f"{error.reason}.", ran=ran)

    def _request(self, item: files.Item) -> messages.Request:
        view = self.view()
        service = find_service(view, item.model)
        route = None if service else find_route(view, item.url)
        if service is None and route is None:
            raise errors.Error(errors.Kind.NOT_FOUND, "No route serves the item's url.")
        return messages.Request(
            request_id=f"item-{self.sent}-{item.index}-{id(item):x}",
            team=item.team,
            contract=None,
            service=service.name if service else route.service,
            method=item.method,
            path=item.url,
            deadline=self.clock.monotonic() + self.item_timeout_s,
            headers=JSON_HEADERS,
            body=json.dumps(item.body).encode(),
            model=item.model if service else "",
            idempotent=is_idempotent(view, item),
            work=messages.WorkClass.BATCH,
        )


def find_service(view: model.View, name: str) -> model.Service | None:
    """Return the model service that offers a model, or None."""
    for service in view.services.values():
        if service.kind is model.ServiceKind.MODEL and name in service.models:
            return service
    return None


def find_route(view: model.View, path: str) -> model.Route | None:
    """Return the route with the longest path that is a prefix of ``path``."""
    path = path.partition("?")[0]
    while path:
        route = view.routes.get(path) or view.routes.get(f"{path}/")
        if route is not None:
            return route
        path = path.rpartition("/")[0]
    return view.routes.get("/")


def is_idempotent(view: model.View, item: files.Item) -> bool:
    """Tell whether an item's call may be repeated."""
    if item.model and item.url.startswith("/v1/"):
        return True
    route = find_route(view, item.url)
    return route is not None and item.method in route.idempotent_methods


def _decode(body: bytes):
    try:
        return json.loads(body)
    except ValueError:
        return body.decode("utf-8", "replace")
