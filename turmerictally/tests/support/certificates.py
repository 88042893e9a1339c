"""Issue certificates for tests."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid


class Authority:
    """Sign certificates for loopback and one name."""

    def __init__(self, folder, name="authority"):
        self.folder = pathlib.Path(folder)
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, name)])
        constraints = x509.BasicConstraints(ca=True, path_length=None)
        self.certificate = self._sign(self.name, self.key, constraints, [])
        self.path = str(self._write(f"{name}.pem", self.certificate))

    def issue(self, stem, dns_name):
        """Write a certificate and key; return their paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, stem)])
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        names = [x509.DNSName(dns_name), address]
        constraints = x509.BasicConstraints(ca=False, path_length=None)
        signed = self._sign(name, key, constraints, names)
        key_path = self.folder / f"{stem}.key"
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return str(self._write(f"{stem}.pem", signed)), str(key_path)

    def _sign(self, name, key, constraints, names):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - datetime.timedelta(days=1))
            .not_valid_after(now + datetime.timedelta(days=1))
            .add_extension(constraints, critical=True)
        )
        if names:
            alternatives = x509.SubjectAlternativeName(names)
            builder = builder.add_extension(alternatives, critical=False)
        return builder.sign(self.key, hashes.SHA256())

    def _write(self, filename, certificate):
        path = self.folder / filename
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return path
