"""Serve TLS with certificates that are read again when their files change."""

import logging
import pathlib
import ssl

import hypercorn.config
import trio

from turmerictally import settings

logger = logging.getLogger(__name__)

ALPN_PROTOCOLS = ["http/1.1"]


class Certificate:
    """Hold one listener's TLS context, which follows its files.

    New connections use what was read last; open ones go on as they are. With an
    ``authority``, clients must show a certificate that it issued.
    """

    def __init__(self, files: settings.TlsFiles, reload_s: float) -> None:
        self.files = files
        self.reload_s = reload_s
        self.seen = self._stamps()
        self.context = self._new_context()

    async def run(self) -> None:
        """Look for changed files every ``reload_s`` seconds."""
        while True:
            await trio.sleep(self.reload_s)
            self.reload()

    def reload(self) -> bool:
        """Read changed files; keep the old certificate when they do not fit.

        Returns whether a new certificate is in use.
        """
        try:
            stamps = self._stamps()
            if stamps == self.seen:
                return False
            # A certificate and a key that do not match must not reach the context.
            self._new_context()
            self._load(self.context)
        except (OSError, ssl.SSLError) as error:
            logger.warning("Kept the old certificate: %s.", error)
            return False
        self.seen = stamps
        logger.info("Read the certificate %s again.", self.files.certificate)
        return True

    def _new_context(self) -> ssl.SSLContext:
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(ALPN_PROTOCOLS)
        self._load(context)
        return context

    def _load(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self.files.certificate, self.files.key)
        if self.files.authority:
            context.load_verify_locations(self.files.authority)
            context.verify_mode = ssl.CERT_REQUIRED

    def _stamps(self) -> list[int]:
        paths = (self.files.certificate, self.files.key, self.files.authority)
        return [pathlib.Path(path).stat().st_mtime_ns for path in paths if path]


class Config(hypercorn.config.Config):
    """Configure a listener, with TLS when ``certificate`` is set."""

    certificate: Certificate | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Tell whether the listener speaks TLS."""
        return self.certificate is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the context that follows its files."""
        return self.certificate.context if self.certificate else None


def certificate(files: settings.TlsFiles, reload_s: float) -> Certificate | None:
    """Return a listener's certificate, or None when its TLS is off."""
    return Certificate(files, reload_s) if files.certificate else None
