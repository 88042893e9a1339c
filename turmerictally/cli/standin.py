"""Run stand-ins of outside systems as processes of their own."""

import collections.abc
import logging
import secrets

import attrs
import quart
import trio

from turmerictally import log, settings, signals
from turmerictally.standins import engine, engine_server, memory, serving
from turmerictally.standins import server as platform_server
from turmerictally.standins import service as plain_service
from turmerictally.store import client, hosts, table

logger = logging.getLogger(__name__)

REGISTER_RETRY_S = 0.2
TIMEOUT_S = 2.0


@attrs.frozen
class Listed:
    """Say how a backend server is listed; ``platform`` is the platform's URL."""

    platform: str
    name: str
    region: str
    failure_domain: str
    service: str
    models: tuple[str, ...] = ()


class Standin:
    """Run the stand-ins that demos, tests and benchmarks need."""

    def platform(self, listen="127.0.0.1:9000", token=""):
        """Run the platform: table service, object store, host list, weight store."""
        app = platform_server.app(memory.Platform(), str(token))
        _run(app, listen, None, ())

    def engine(
        self,
        platform,
        name,
        region,
        failure_domain,
        service,
        models,
        listen="127.0.0.1:0",
        step_s=0.02,
        capacity=16,
        seed=0,
    ):
        """Run one model engine and list it as a backend server."""
        names = (models,) if isinstance(models, str) else tuple(models)
        options = engine.Options(
            models=names, step_s=float(step_s), capacity=capacity, seed=seed
        )
        started = engine.Engine(options)
        listed = Listed(platform, name, region, failure_domain, service, names)
        _run(engine_server.app(started), listen, listed, (started.run,))

    def service(
        self,
        platform,
        name,
        region,
        failure_domain,
        service,
        listen="127.0.0.1:0",
    ):
        """Run one plain service and list it as a backend server."""
        app = plain_service.app(plain_service.Service())
        listed = Listed(platform, name, region, failure_domain, service)
        _run(app, listen, listed, ())


def _run(app: quart.Quart, listen: str, listed: Listed | None, tasks: tuple) -> None:
    log.setup("WARNING", False)
    trio.run(_serve, app, listen, listed, tasks)


async def _serve(
    app: quart.Quart,
    listen: str,
    listed: Listed | None,
    tasks: tuple[collections.abc.Callable, ...],
) -> None:
    async with trio.open_nursery() as nursery:
        for task in tasks:
            nursery.start_soon(task)
        await nursery.start(signals.stop_on_signal, nursery.cancel_scope.cancel)
        url = await nursery.start(serving.serve, app, listen)
        print(url, flush=True)
        if listed is not None:
            await _list(listed, url.removeprefix("http://"))


async def _list(listed: Listed, address: str) -> None:
    values = settings.DEFAULTS["platform"] | {"url": listed.platform}
    host = hosts.ListedHost(
        id=listed.name,
        instance=secrets.token_hex(8),
        role=hosts.Role.BACKEND_SERVER,
        address=address,
        region=listed.region,
        failure_domain=listed.failure_domain,
        service=listed.service,
        models=listed.models,
    )
    async with client.connect(settings.Platform(**values)) as platform:
        while True:
            try:
                await platform.hosts.register(host)
                return
            except table.UnavailableError:
                await trio.sleep(REGISTER_RETRY_S)
