"""Run a small deployment in a thread, for tests over real sockets."""

import contextlib
import threading

import httpx
import openai
import trio

from turmerictally import demo
from turmerictally.config import model
from turmerictally.standins import engine

HANG_GUARD_S = 60.0
MODEL = "small"


def describe(hosts_per_domain=1, **host):
    """Return a deployment of two failure domains."""
    return demo.Deployment(
        region="r",
        domains=tuple(demo.Domain(n, hosts_per_domain, 1) for n in ("r-a", "r-b")),
        service="assist",
        models=(MODEL,),
        plain_service="stock",
        routes=(
            model.Route("/stock", "stock"),
            model.Route("/confirmations", "stock", idempotent_methods=("GET",)),
            model.Route("/echo", "stock", open=True),
        ),
        teams=(
            model.Contract("red", rate=200.0, burst=400),
            model.Contract("blue", rate=1.0, burst=2),
        ),
        engines=engine.Options(step_s=0.005, load_lag_s=0.05),
        host={
            "stop": {"announce_s": 0.05, "drain_s": 10.0},
            "batch": {"lease_s": 1.5, "claim_poll_s": 0.1, "part_s": 0.5},
            "platform": {"timeout_s": 1.0, "backoff_max_s": 0.5},
            "orders": {"poll_s": 0.2, "lease_s": 5.0, "send_timeout_s": 0.5},
            "listen": {"max_body_bytes": 100_000},
        }
        | host,
    )


class Fleet:
    """Run a demo deployment in a thread of its own."""

    def __init__(self, deployment):
        self.demo = demo.Demo(deployment)
        self.started = threading.Event()
        self.thread = threading.Thread(target=trio.run, args=(self._run,), daemon=True)
        self.thread.start()
        if not self.started.wait(HANG_GUARD_S):
            raise RuntimeError("the deployment did not start")
        self.summary = self.demo.summary()

    async def _run(self):
        self.token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.demo.run)
            await self.demo.ready.wait()
            self.started.set()
            await self.demo.stopped.wait()

    def run(self, function, *args):
        """Run an async function in the deployment's thread."""

        async def guarded():
            with trio.fail_after(HANG_GUARD_S):
                return await function(*args)

        return trio.from_thread.run(guarded, trio_token=self.token)

    def stop(self):
        """Stop every host and wait for the end."""
        with contextlib.suppress(trio.RunFinishedError):
            trio.from_thread.run_sync(self.demo.stop, trio_token=self.token)
        self.thread.join(HANG_GUARD_S)
        return not self.thread.is_alive()

    def balanced(self, first):
        """Return the entry hosts' addresses now, from one of them on."""
        urls = [each.entry_url for each in self.demo.hosts]
        return urls[first % len(urls) :] + urls[: first % len(urls)]

    def key(self, team="red"):
        """Return a team's key."""
        return self.summary["keys"][team]

    def headers(self, team="red"):
        """Return the headers of a team's request."""
        return {"authorization": f"Bearer {self.key(team)}"}

    def client(self, host=0, team="red"):
        """Return the published client of the interface."""
        return openai.OpenAI(
            base_url=self.summary["entry"][host] + "/v1",
            api_key=self.key(team),
            max_retries=0,
            timeout=HANG_GUARD_S,
        )

    def http(self, host=0, team=None):
        """Return a plain HTTP client of one entry host."""
        headers = self.headers(team) if team else {}
        return httpx.Client(
            base_url=self.summary["entry"][host],
            headers=headers,
            timeout=HANG_GUARD_S,
            trust_env=False,
        )

    def operators(self):
        """Return an HTTP client of the operators' listener."""
        key = self.summary["operator_key"]
        return httpx.Client(
            base_url=self.summary["operator"],
            headers={"authorization": f"Bearer {key}"},
            timeout=HANG_GUARD_S,
            trust_env=False,
        )
