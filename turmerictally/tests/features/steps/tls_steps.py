"""Steps for the TLS feature."""

import os
import pathlib
import shutil
import ssl
import tempfile

import behave
import httpx
import hypercorn.trio
import quart
import quart_trio
import trio

from turmerictally import settings, tls
from turmerictally.tests.support import certificates

HANG_GUARD_S = 60


@behave.given("a TLS listener with a certificate")
def listener(context):
    context.folder = tempfile.TemporaryDirectory()
    context.authorities = [
        certificates.Authority(context.folder.name, name) for name in ("old", "new")
    ]
    old, new = context.authorities
    pairs = [old.issue("old-host", "h"), new.issue("new-host", "h")]
    context.pairs = [(shutil.copy(c, f"{c}.used"), k) for c, k in pairs]
    certificate, key = context.pairs[0]
    context.files = settings.TlsFiles(certificate, key, "")


def replace(context, certificate=True, key=True):
    """Put the new authority's files in place of the old ones."""
    for part, wanted in enumerate((certificate, key)):
        old, new = context.pairs[0][part], context.pairs[1][part]
        if wanted:
            pathlib.Path(old).write_bytes(pathlib.Path(new).read_bytes())
            later = os.stat(old).st_mtime + 10
            os.utime(old, (later, later))


def trusting(authority, pair=None):
    context = ssl.create_default_context(cafile=authority.path)
    if pair:
        context.load_cert_chain(*pair)
    return httpx.AsyncClient(verify=context, timeout=30)


def serving(context, files, check):
    app = quart_trio.QuartTrio("turmerictally")

    @app.get("/")
    async def root():
        return quart.Response("ok")

    async def main():
        config = tls.Config()
        config.bind = ["127.0.0.1:0"]
        config.errorlog = None
        config.graceful_timeout = 0.1
        config.certificate = tls.certificate(files, 3600)
        with trio.fail_after(HANG_GUARD_S):
            async with trio.open_nursery() as nursery:
                urls = await nursery.start(hypercorn.trio.serve, app, config)
                await check(config.certificate, urls[0])
                nursery.cancel_scope.cancel()

    trio.run(main)


async def connects(authority, url, pair=None):
    async with trusting(authority, pair) as client:
        try:
            return (await client.get(url)).text == "ok"
        except httpx.TransportError:
            return False


@behave.then("a renewed certificate serves new connections and cuts no open one")
def renewed_listener(context):
    old, new = context.authorities

    async def check(certificate, url):
        async with trusting(old) as client:
            assert (await client.get(url)).text == "ok"
            replace(context)
            assert certificate.reload() and not certificate.reload()
            assert (await client.get(url)).text == "ok"
        assert await connects(new, url) and not await connects(old, url)

    serving(context, context.files, check)


@behave.then("without reading it again new connections would fail")
def not_read(context):
    listener(context)
    new = context.authorities[1]

    async def check(certificate, url):
        replace(context)
        assert not await connects(new, url)

    serving(context, context.files, check)


@behave.then("files that do not fit leave the old certificate in use")
def unfit(context):
    listener(context)
    old, new = context.authorities

    async def check(certificate, url):
        replace(context, key=False)
        assert not certificate.reload() and await connects(old, url)
        replace(context)
        assert certificate.reload() and await connects(new, url)

    serving(context, context.files, check)


@behave.then(
    "a client without a certificate is refused by a listener with an authority"
)
def mutual(context):
    old, _ = context.authorities
    files = settings.TlsFiles(*context.pairs[0], old.path)

    async def check(certificate, url):
        assert not await connects(old, url)
        assert not await connects(old, url, context.pairs[1])
        assert await connects(old, url, context.pairs[0])

    serving(context, files, check)


@behave.then("a certificate without its key or a peers' authority is a fault")
def checked(context):
    names = ("host_id", "region", "failure_domain", "peer_secret")
    given = dict.fromkeys(names, "x") | {"platform": {"url": "http://127.0.0.1:1"}}
    files = {
        "callers": {"certificate": "c"},
        "peers": {"certificate": "c", "key": "k"},
        "operators": {"authority": "a"},
    }
    try:
        settings.build(given | {"tls": files})
    except settings.SettingsError as error:
        found = [fault.path for fault in error.faults]
        expected = ["tls.callers.key", "tls.operators.certificate"]
        assert found == [*expected, "tls.peers.authority"], found
        return
    raise AssertionError("no fault")
