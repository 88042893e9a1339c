"""Make HTTP clients and transports that share one TLS context."""

import functools
import importlib
import ssl
import typing

import httpx


@functools.cache
def tls_context() -> ssl.SSLContext:
    """Return the context by which servers are verified."""
    # A process that reaches its services without TLS never loads the authorities.
    certifi = importlib.import_module("certifi")
    return ssl.create_default_context(cafile=certifi.where())


def client(**options: typing.Any) -> httpx.AsyncClient:
    """Return a client that ignores the environment's proxies."""
    return httpx.AsyncClient(verify=tls_context(), trust_env=False, **options)


def transport(url: str, limits: httpx.Limits) -> httpx.AsyncHTTPTransport:
    """Return a transport to one service, without a client's redirects and cookies."""
    # Loading the authorities takes 0.1 s; without them every TLS server is rejected.
    plain = url.startswith("http://")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT) if plain else tls_context()
    return httpx.AsyncHTTPTransport(verify=context, trust_env=False, limits=limits)
