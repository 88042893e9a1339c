"""Offer the operators' verbs; each talks to an entry host's operator listener."""

import datetime
import secrets
import sys
import urllib.parse

from turmerictally.cli import client


def _quote(text: object) -> str:
    return urllib.parse.quote(str(text), safe="")


def _print_outcome(outcome: dict, as_json: bool) -> None:
    if as_json:
        client.show(outcome, True)
        return
    print(
        f"version {outcome['version']} {outcome['status']}, in force on "
        f"{outcome['in_force']} of {outcome['hosts']} hosts"
    )
    if not outcome["hosts_known"]:
        print("not all hosts are known: the platform is down", file=sys.stderr)
    for pending in outcome["pending"]:
        print(_describe(pending), file=sys.stderr)


def _describe(pending: dict) -> str:
    until = datetime.datetime.fromtimestamp(pending["may_serve_until"], datetime.UTC)
    return (
        f"not confirmed: {pending['host_id']} in {pending['failure_domain']}, "
        f"{pending['state']}, may serve without it until {until:%Y-%m-%dT%H:%M:%SZ}"
    )


class Contract:
    """Manage contracts: one per team."""

    def list(self, operator=None, operator_key=None, json=False):
        """List every contract."""
        found = client.call("GET", "/v1/contracts", operator, operator_key)
        client.show(found["data"], json)

    def show(self, team, operator=None, operator_key=None, json=False):
        """Show one contract."""
        path = f"/v1/contracts/{_quote(team)}"
        client.show(client.call("GET", path, operator, operator_key), json)

    def put(
        self,
        team,
        rate,
        burst,
        models="",
        max_staleness_s=None,
        expected_version=None,
        operator=None,
        operator_key=None,
        json=False,
    ):
        """Create or change a contract: rate in requests a second, burst in requests."""
        names = models if isinstance(models, (list, tuple)) else str(models).split(",")
        body = {"rate": rate, "burst": burst}
        body["models"] = [str(name) for name in names if name]
        body["max_staleness_s"] = max_staleness_s
        if expected_version is not None:
            body["expected_version"] = expected_version
        path = f"/v1/contracts/{_quote(team)}"
        found = client.call("PUT", path, operator, operator_key, body=body)
        _print_outcome(found["outcome"], json)

    def remove(self, team, operator=None, operator_key=None, json=False):
        """Remove a contract that has no keys."""
        path = f"/v1/contracts/{_quote(team)}"
        found = client.call("DELETE", path, operator, operator_key)
        _print_outcome(found["outcome"], json)


class Key:
    """Manage callers' keys."""

    def give(self, team, operator=None, operator_key=None, json=False):
        """Create a key and print its secret, this once."""
        body = {"team": str(team)}
        found = client.call("POST", "/v1/keys", operator, operator_key, body=body)
        if json:
            client.show(found, True)
            return
        print(f"id   {found['id']}\nkey  {found['key']}")
        _print_outcome(found["outcome"], False)

    def withdraw(self, key_id, operator=None, operator_key=None, json=False):
        """Withdraw a key; it ends requests that run on it."""
        path = f"/v1/keys/{_quote(key_id)}"
        found = client.call("DELETE", path, operator, operator_key)
        _print_outcome(found["outcome"], json)

    def list(self, team="", operator=None, operator_key=None, json=False):
        """List keys by id, of one team if given."""
        params = {"team": str(team)}
        found = client.call("GET", "/v1/keys", operator, operator_key, params=params)
        client.show(found["data"], json)


class Job:
    """Manage batch jobs."""

    def list(self, team="", operator=None, operator_key=None, json=False):
        """List unfinished jobs, or all jobs of one team."""
        params = {"team": str(team)}
        found = client.call("GET", "/v1/jobs", operator, operator_key, params=params)
        client.show(found["data"], json)

    def show(self, team, job_id, operator=None, operator_key=None, json=False):
        """Show one job with its progress."""
        path = f"/v1/jobs/{_quote(team)}/{_quote(job_id)}"
        client.show(client.call("GET", path, operator, operator_key), json)

    def cancel(self, team, job_id, operator=None, operator_key=None, json=False):
        """Cancel one job."""
        path = f"/v1/jobs/{_quote(team)}/{_quote(job_id)}/cancel"
        client.show(client.call("POST", path, operator, operator_key), json)


class Config:
    """Show how far configuration changes have come."""

    def status(self, version=0, operator=None, operator_key=None, json=False):
        """Ask every host whether a change is in force, by default the newest one."""
        params = {"version": version}
        path = "/v1/config/status"
        found = client.call("GET", path, operator, operator_key, params=params)
        _print_outcome(found["outcome"], json)


class Host:
    """Show the entry hosts."""

    def list(self, operator=None, operator_key=None, json=False):
        """List the entry hosts with the configuration version in force on each."""
        found = client.call("GET", "/v1/hosts", operator, operator_key)
        client.show(found["data"], json)

    def remove(self, host_id, operator=None, operator_key=None, json=False):
        """Note that a host was destroyed; only true if it no longer runs."""
        path = f"/v1/hosts/{_quote(host_id)}"
        client.show(client.call("DELETE", path, operator, operator_key), json)


class Server:
    """Manage backend servers."""

    def list(self, operator=None, operator_key=None, json=False):
        """List the backend servers as the asked host sees them."""
        found = client.call("GET", "/v1/servers", operator, operator_key)
        client.show(found["data"], json)

    def drain(self, address, operator=None, operator_key=None, json=False):
        """Send no new work to a backend server."""
        path = f"/v1/servers/{_quote(address)}/drain"
        found = client.call("POST", path, operator, operator_key)
        _print_outcome(found["outcome"], json)

    def undrain(self, address, operator=None, operator_key=None, json=False):
        """Send work to a backend server again."""
        path = f"/v1/servers/{_quote(address)}/undrain"
        found = client.call("POST", path, operator, operator_key)
        _print_outcome(found["outcome"], json)


class Order:
    """Give orders to engines; an order's id makes repeating it harmless."""

    def load(
        self,
        server,
        name,
        version,
        id=None,
        operator=None,
        operator_key=None,
        json=False,
    ):
        """Load a version of a model or adapter on a backend server."""
        body = {"action": "load", "server": server, "name": str(name)}
        body["version"] = str(version)
        _submit(body, id, operator, operator_key, json)

    def unload(
        self, server, name, id=None, operator=None, operator_key=None, json=False
    ):
        """Unload a model; refused on the last server that offers it."""
        body = {"action": "unload", "server": server, "name": str(name)}
        _submit(body, id, operator, operator_key, json)

    def role(self, server, name, id=None, operator=None, operator_key=None, json=False):
        """Change the role of a backend server."""
        body = {"action": "role", "server": server, "name": str(name)}
        _submit(body, id, operator, operator_key, json)

    def show(self, server, operator=None, operator_key=None, json=False):
        """Show the pending and the ended orders of a backend server."""
        path = f"/v1/orders/{_quote(server)}"
        client.show(client.call("GET", path, operator, operator_key), json)


def _submit(body, order_id, operator, operator_key, json) -> None:
    body["id"] = str(order_id) if order_id else f"order-{secrets.token_hex(6)}"
    found = client.call("POST", "/v1/orders", operator, operator_key, body=body)
    client.show(found, json)


class Service:
    """Manage services."""

    def list(self, operator=None, operator_key=None, json=False):
        """List every service."""
        found = client.call("GET", "/v1/services", operator, operator_key)
        client.show(found["data"], json)

    def put(
        self,
        name,
        kind="model",
        models="",
        operator=None,
        operator_key=None,
        json=False,
    ):
        """Create or change a service of kind model or plain."""
        names = models if isinstance(models, (list, tuple)) else str(models).split(",")
        body = {"kind": kind, "models": [str(each) for each in names if each]}
        path = f"/v1/services/{_quote(name)}"
        found = client.call("PUT", path, operator, operator_key, body=body)
        _print_outcome(found["outcome"], json)


class Route:
    """Manage the routes of plain services."""

    def list(self, operator=None, operator_key=None, json=False):
        """List every route."""
        found = client.call("GET", "/v1/routes", operator, operator_key)
        client.show(found["data"], json)

    def put(
        self,
        path,
        service,
        open=False,
        idempotent="GET,HEAD,OPTIONS",
        operator=None,
        operator_key=None,
        json=False,
    ):
        """Create or change a route; ``idempotent`` lists methods that may repeat."""
        listed = idempotent.split(",") if isinstance(idempotent, str) else idempotent
        body = {"service": service, "open": open, "idempotent_methods": list(listed)}
        target = f"/v1/routes/{urllib.parse.quote(path.lstrip('/'))}"
        found = client.call("PUT", target, operator, operator_key, body=body)
        _print_outcome(found["outcome"], json)


def audit(after="", limit=100, operator=None, operator_key=None, json=False):
    """List the audit trail of changes."""
    params = {"after": after, "limit": limit}
    found = client.call("GET", "/v1/audit", operator, operator_key, params=params)
    client.show(found["data"], json)


def explain(id, operator=None, operator_key=None, json=False):
    """Tell what was decided for a request or job, and why."""
    path = f"/v1/explain/{_quote(id)}"
    found = client.call("GET", path, operator, operator_key)
    client.show(found["data"], json)


def measures(operator=None, operator_key=None, json=False):
    """Show latency over the fleet, the worst-served team and wrongful refusals."""
    client.show(client.call("GET", "/v1/measures", operator, operator_key), json)


def status(operator=None, operator_key=None, json=False):
    """Show the fleet at a glance."""
    client.show(client.call("GET", "/v1/status", operator, operator_key), json)
