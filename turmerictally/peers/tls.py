"""Read the certificates of the inner protocol, afresh for new connections."""

import logging
import pathlib

import attrs
import grpc

from turmerictally import settings

logger = logging.getLogger(__name__)


@attrs.frozen
class Files:
    """Hold paths of PEM files; an empty certificate means plain TCP."""

    certificate: str = ""
    key: str = ""
    authority: str = ""

    @classmethod
    def from_settings(cls, files: settings.TlsFiles) -> "Files":
        """Return the files named by the settings."""
        return cls(files.certificate, files.key, files.authority)

    def channel(self) -> grpc.ChannelCredentials | None:
        """Return the credentials of a connecting host."""
        if not self.certificate:
            return None
        return grpc.ssl_channel_credentials(
            root_certificates=_read(self.authority),
            private_key=_read(self.key),
            certificate_chain=_read(self.certificate),
        )

    def server(self) -> grpc.ServerCredentials | None:
        """Return the credentials of an accepting host, which follow the files."""
        if not self.certificate:
            return None
        return grpc.dynamic_ssl_server_credentials(
            self._configuration(), self._refresh, require_client_authentication=True
        )

    def _refresh(self) -> grpc.ServerCertificateConfiguration | None:
        try:
            return self._configuration()
        except OSError as error:
            logger.warning("Kept the old certificate: %s.", error)
            return None

    def _configuration(self) -> grpc.ServerCertificateConfiguration:
        pair = (_read(self.key), _read(self.certificate))
        authority = _read(self.authority)
        return grpc.ssl_server_certificate_configuration([pair], authority)


def _read(path: str) -> bytes:
    return pathlib.Path(path).read_bytes()
