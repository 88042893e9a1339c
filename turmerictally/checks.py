"""Check the values of settings whose keys and types are right."""

import ipaddress
import re

import attrs

_PORT = re.compile(r"[0-9]{1,5}")
# A host ranks the slots of each failure domain for each team that it meets.
MAX_SLOTS_PER_DOMAIN = 1024


@attrs.frozen
class Fault:
    """Describe one fault of a settings file: where it is and what was expected."""

    path: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: {self.expected}"


def check(merged: dict) -> list[Fault]:
    """Return the faults of settings whose keys and types are right."""
    faults = []
    for name in ("callers", "operators", "peers"):
        fault = check_address(merged["listen"][name])
        if fault:
            faults.append(Fault(f"listen.{name}", fault))
    faults.extend(check_numbers(merged))
    if merged["log"]["level"] not in ("DEBUG", "INFO", "WARNING", "ERROR"):
        faults.append(Fault("log.level", "expected DEBUG, INFO, WARNING or ERROR"))
    faults.extend(_check_operator_keys(merged["operator_key_hashes"]))
    faults.extend(_check_seeds(merged["membership"]["seeds"]))
    faults.extend(_check_tls(merged["tls"]))
    faults.extend(_check_domains(merged))
    if merged["limits"]["slots_per_domain"] > MAX_SLOTS_PER_DOMAIN:
        expected = f"expected a number up to {MAX_SLOTS_PER_DOMAIN}"
        faults.append(Fault("limits.slots_per_domain", expected))
    return faults


def check_numbers(merged: dict) -> list[Fault]:
    """Return the faults of numbers that are out of their range."""
    faults = []
    for section, values in merged.items():
        if isinstance(values, dict):
            faults.extend(_check_numbers(section, values))
    return faults


def _check_numbers(section: str, values: dict) -> list[Fault]:
    faults = []
    for key, value in values.items():
        path = f"{section}.{key}"
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if is_number and key.endswith("_ratio") and not 0 <= value <= 1:
            faults.append(Fault(path, "expected a ratio from 0 to 1"))
        elif is_number and not 0 < value < float("inf"):
            faults.append(Fault(path, "expected a number above 0"))
    return faults


def _check_operator_keys(hashes: dict) -> list[Fault]:
    faults = []
    for name, digest in hashes.items():
        if not isinstance(digest, str) or len(digest) != 64:
            path = f"operator_key_hashes.{name}"
            faults.append(Fault(path, "expected a SHA-256 digest of 64 hex digits"))
    return faults


def _check_seeds(seeds: list) -> list[Fault]:
    expected = "expected a list of IP:PORT"
    bad = [s for s in seeds if not isinstance(s, str) or check_address(s)]
    return [Fault("membership.seeds", expected)] if bad else []


def _check_domains(merged: dict) -> list[Fault]:
    domains = merged["limits"]["failure_domains"]
    own = merged["failure_domain"]
    texts = all(isinstance(name, str) and name for name in domains)
    if texts and (not domains or own in domains):
        return []
    expected = f"expected a list of names with the own one, {own}"
    return [Fault("limits.failure_domains", expected)]


def _check_tls(listeners: dict) -> list[Fault]:
    faults = []
    for name in ("callers", "operators", "peers"):
        files = listeners[name]
        needed = ("key", "authority") if name == "peers" else ("key",)
        for key in needed:
            if files["certificate"] and not files[key]:
                expected = "required when a certificate is given"
                faults.append(Fault(f"tls.{name}.{key}", expected))
        if any(files.values()) and not files["certificate"]:
            expected = "required when a key or an authority is given"
            faults.append(Fault(f"tls.{name}.certificate", expected))
    return faults


def check_address(value: str) -> str | None:
    """Return what is wrong with an ``ip:port``, or None."""
    expected = "expected IP:PORT with a port from 0 to 65535"
    host, separator, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return expected
    if not separator or not _PORT.fullmatch(port) or int(port) > 65535:
        return expected
    return None
