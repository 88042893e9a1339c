"""Make HTTP clients that share one TLS context, whose loading is slow."""

import functools
import ssl
import typing

import certifi
import httpx


@functools.cache
def tls_context() -> ssl.SSLContext:
    """Return the context by which servers are verified."""
    return ssl.create_default_context(cafile=certifi.where())


def client(**options: typing.Any) -> httpx.AsyncClient:
    """Return a client that ignores the environment's proxies."""
    return httpx.AsyncClient(verify=tls_context(), trust_env=False, **options)
