"""Run a whole deployment in one process on loopback, with stand-ins."""

import importlib.resources
import logging
import pathlib
import secrets
import typing

import attrs
import cattrs
import trio
import yaml

from turmerictally import checks, host, settings
from turmerictally.config import model
from turmerictally.standins import engine, engine_server, memory, service, serving
from turmerictally.standins import server as platform_server
from turmerictally.store import hosts, weights

logger = logging.getLogger(__name__)

ANY_PORT = "127.0.0.1:0"
OPERATOR = "demo"
WEIGHTS_BYTES = 2 * 1024**3


@attrs.frozen
class Domain:
    """Size one failure domain."""

    name: str
    hosts: int
    servers: int


@attrs.frozen
class Deployment:
    """Describe a deployment to run; ``host`` overrides the hosts' settings."""

    region: str
    domains: tuple[Domain, ...]
    service: str
    models: tuple[str, ...]
    plain_service: str
    routes: tuple[model.Route, ...]
    teams: tuple[model.Contract, ...]
    engines: engine.Options = attrs.Factory(engine.Options)
    host: dict[str, typing.Any] = attrs.Factory(dict)


def load(path: str | None) -> Deployment:
    """Read a deployment, raising ``settings.SettingsError`` with its faults."""
    source = importlib.resources.files("turmerictally") / "dalisay.yaml"
    if path is not None:
        source = pathlib.Path(path)
    try:
        given = yaml.safe_load(source.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        fault = checks.Fault(str(path), f"expected a readable YAML file: {error}")
        raise settings.SettingsError([fault]) from error
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return converter.structure(given, Deployment)
    except cattrs.BaseValidationError as error:
        faults = [_fault(text) for text in cattrs.transform_error(error)]
        raise settings.SettingsError(faults) from error


def _fault(text: str) -> checks.Fault:
    expected, _, path = text.partition(" @ ")
    return checks.Fault(path.removeprefix("$.") or "(top level)", expected)


class Demo:
    """Run one deployment until stopped."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.platform = memory.Platform()
        self.engines: list[engine.Engine] = []
        self.plain = service.Service()
        self.hosts: list[host.Host] = []
        self.keys: dict[str, str] = {}
        self.operator_key = f"op-{secrets.token_urlsafe(24)}"
        self.peer_secret = secrets.token_urlsafe(24)
        self.ready = trio.Event()
        self.stop_requested = trio.Event()
        self.stopped = trio.Event()

    def stop(self) -> None:
        """Begin a planned stop of all hosts."""
        self.stop_requested.set()

    def summary(self) -> dict:
        """Return where the deployment is reached and by which keys."""
        return {
            "entry": [each.entry_url for each in self.hosts],
            "operator": self.hosts[0].operator_url,
            "operator_key": self.operator_key,
            "keys": self.keys,
        }

    async def replace_host(self, index: int) -> None:
        """Stop one host as planned and start it again."""
        old = self.hosts[index]
        old.stop()
        await old.stopped.wait()
        config = attrs.evolve(old.settings, listen=self._listen(old.settings))
        self.hosts[index] = await self._start_host(config)
        await self.hosts[index].wait_until_ready()

    async def kill_workers(self) -> list[int]:
        """Kill the hosts that run batch items; return their indices."""
        working = [i for i, each in enumerate(self.hosts) if each.executor.works]
        for index in working:
            self.hosts[index].kill()
        return working

    async def run(self) -> None:
        """Start everything, wait for the stop, and drain the hosts."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self.url = await nursery.start(
                serving.serve, platform_server.app(self.platform), ANY_PORT
            )
            await self._start_servers(nursery)
            await self._start_hosts()
            self.ready.set()
            await self.stop_requested.wait()
            await self._stop_hosts()
            nursery.cancel_scope.cancel()
        self.stopped.set()

    async def _start_servers(self, nursery: trio.Nursery) -> None:
        deployment = self.deployment
        for domain in deployment.domains:
            for _ in range(domain.servers):
                await self._start_engine(nursery, domain.name)
        for name in deployment.models:
            info = weights.WeightsInfo(name, "1", WEIGHTS_BYTES)
            self.platform.weights.stored[(name, "1")] = info
        url = await nursery.start(serving.serve, service.app(self.plain), ANY_PORT)
        await self._list_server(
            url, "plain-1", deployment.domains[0].name, deployment.plain_service
        )

    async def _start_engine(self, nursery: trio.Nursery, domain: str) -> None:
        models = self.deployment.models
        options = attrs.evolve(
            self.deployment.engines, models=models, seed=len(self.engines)
        )
        started = engine.Engine(options)
        self.engines.append(started)
        nursery.start_soon(started.run)
        url = await nursery.start(serving.serve, engine_server.app(started), ANY_PORT)
        name = f"engine-{len(self.engines)}"
        await self._list_server(url, name, domain, self.deployment.service, models)

    async def _list_server(
        self, url: str, name: str, domain: str, offered: str, models: tuple = ()
    ) -> None:
        await self.platform.hosts.register(
            hosts.ListedHost(
                id=name,
                instance="1",
                role=hosts.Role.BACKEND_SERVER,
                address=url.removeprefix("http://"),
                region=self.deployment.region,
                failure_domain=domain,
                service=offered,
                models=models,
            )
        )

    async def _start_hosts(self) -> None:
        for domain in self.deployment.domains:
            for number in range(domain.hosts):
                started = await self._start_host(self._settings(domain.name, number))
                self.hosts.append(started)
                if len(self.hosts) == 1:
                    await self._configure(started)
        for each in self.hosts:
            await each.wait_until_ready()
        while not all(each.limits.leases.knows_holders for each in self.hosts):
            await trio.sleep(host.READY_POLL_S)

    async def _start_host(self, config: settings.Settings) -> host.Host:
        return await self.nursery.start(host.Host(config).run)

    def _settings(self, domain: str, number: int) -> settings.Settings:
        given = dict(self.deployment.host)
        given["host_id"] = f"{domain}-{number + 1}"
        given["region"] = self.deployment.region
        given["failure_domain"] = domain
        given["peer_secret"] = self.peer_secret
        given["platform"] = given.get("platform", {}) | {"url": self.url}
        given["listen"] = given.get("listen", {}) | {
            "callers": ANY_PORT,
            "operators": ANY_PORT,
            "peers": ANY_PORT,
        }
        domains = [each.name for each in self.deployment.domains]
        given["limits"] = given.get("limits", {}) | {"failure_domains": domains}
        given["operator_key_hashes"] = {OPERATOR: model.digest(self.operator_key)}
        return settings.build(given)

    def _listen(self, config: settings.Settings) -> settings.Listen:
        return attrs.evolve(
            config.listen, callers=ANY_PORT, operators=ANY_PORT, peers=ANY_PORT
        )

    async def _configure(self, first: host.Host) -> None:
        await first.wait_until_ready()
        deployment = self.deployment
        operations = first.configuration.operations
        plain = model.ServiceKind.PLAIN
        items = [
            model.Service(deployment.service, models=deployment.models),
            model.Service(deployment.plain_service, plain),
            *deployment.routes,
            *deployment.teams,
        ]
        for item in items:
            await operations.put(OPERATOR, item)
        for team in deployment.teams:
            given = await operations.give_key(OPERATOR, team.team)
            self.keys[team.team] = given.secret.text

    async def _stop_hosts(self) -> None:
        for each in self.hosts:
            each.stop()
        for each in self.hosts:
            await each.stopped.wait()
