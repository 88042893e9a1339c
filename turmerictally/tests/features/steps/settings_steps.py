"""Steps for the settings feature."""

import json
import pathlib
import re
import tempfile

import behave
import yaml

from turmerictally import errors, settings
from turmerictally.entry import settings as entry_settings
from turmerictally.tests.support import malformed

# Numbers of seconds that are large, but no fault.
ALLOWED = ("1.5", "1" + "0" * 18, "1" + "0" * 30)
DOCS = pathlib.Path(__file__).parents[4] / "docs"

MINIMAL = {
    "host_id": "h1",
    "region": "luzon",
    "failure_domain": "luzon-a",
    "peer_secret": "s",
    "platform": {"url": "http://127.0.0.1:9000"},
}


@behave.given("the minimal settings")
def minimal_settings(context):
    context.given_settings = yaml.safe_load(yaml.safe_dump(MINIMAL))


@behave.given("these settings over them")
def settings_over(context):
    context.given_settings.update(yaml.safe_load(context.text))


@behave.when("the settings are checked")
def check_settings(context):
    context.faults = []
    try:
        context.settings = settings.build(context.given_settings)
    except settings.SettingsError as error:
        context.faults = [str(fault) for fault in error.faults]


@behave.then("there is no fault")
def no_fault(context):
    assert context.faults == [], context.faults


@behave.then("the faults are")
def faults_are(context):
    assert context.faults == context.text.strip().splitlines(), context.faults


@behave.then("every key has a default or is required")
def every_key(context):
    assert context.settings.listen.max_running_requests == 2000


def _leaves(mapping, prefix=""):
    for key, value in mapping.items():
        if isinstance(value, dict) and value:
            yield from _leaves(value, f"{prefix}{key}.")
        else:
            yield f"{prefix}{key}", value


def _shown(value):
    if value is settings.REQUIRED:
        return "required"
    if value == "":
        return '`""`'
    if isinstance(value, bool):
        return f"`{str(value).lower()}`"
    return f"`{value}`"


@behave.then("docs/settings.md has a row for each key and default")
def settings_page(context):
    check_page("settings.md", settings.DEFAULTS)


@behave.then("docs/settings-entry.md has a row for each key and default")
def entry_settings_page(context):
    check_page("settings-entry.md", entry_settings.DEFAULTS)


@behave.then(
    "the template of the users' platform gives valid settings {where} a bound for cold "
    "servers"
)
def template(context, where):
    text = (DOCS.parent / "deploy" / "entry.yaml").read_text(encoding="utf-8")
    given = {
        "nodeName": "edge-1",
        "zone": "luzon-a",
        "listen.front": "10.1.0.21:8689",
        "listen.readiness": "10.1.0.21:8687",
        "ip": "10.1.0.21",
        "portRange.0": 7360,
        "provider.address": "10.200.1.7:8688",
        "bounds.graceS": 8,
        "bounds.statusS": 120,
        "limits.cpuShare": 0.717,
        "limits.memoryMb": 330,
    }
    if where == "with":
        given["bounds.coldOvershoot"] = 1.5

    def section(match):
        return match[2] if match[1] in given else ""

    def fill(match):
        name, _, form = match[1].partition("|")
        return json.dumps(given[name]) if form == "json" else str(given[name])

    text = re.sub(r"(?s)\{\{#(.*?)\}\}\n(.*?)\{\{/\1\}\}\n", section, text)
    filled = re.sub(r"\{\{(.*?)\}\}", fill, text)
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        file.write(filled)
        file.flush()
        found = entry_settings.load(file.name)
    assert found.listen.peers == "10.1.0.21:7360"
    assert found.stop.grace_s == 8.0
    assert found.cold.overshoot == (1.5 if where == "with" else 1.0)


@behave.given('an entry host\'s settings file that exempts the request "{request}"')
def exempting_settings(context, request):
    listen = {
        name: f"10.1.0.21:{port}"
        for port, name in enumerate(("callers", "health", "peers", "metrics"), 7360)
    }
    context.entry_settings = {
        "host_id": "edge-1",
        "failure_domain": "luzon-a",
        "listen": listen,
        "store": {"url": "http://10.200.1.7:8688"},
        "requests": {"exempt": [request]},
    }


@behave.then("loading it fails for {key}")
def loading_fails(context, key):
    with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
        file.write(json.dumps(context.entry_settings))
        file.flush()
        try:
            entry_settings.load(file.name)
        except settings.SettingsError as error:
            assert key in str(error), error
            return
    raise AssertionError("the settings were taken")


def check_page(name, defaults):
    page = (DOCS / name).read_text(encoding="utf-8")
    wanted = {f"| `{k}` | {_shown(v)} |" for k, v in _leaves(defaults)}
    rows = {line for line in page.splitlines() if line.startswith("| `")}
    listed = {row for row in rows if any(row.startswith(w) for w in wanted)}
    assert rows == listed, rows - listed
    assert len(rows) == len(wanted), (len(rows), len(wanted))


@behave.then("each kind has a row in the table and in docs/callers.md")
def error_kinds(context):
    page = (DOCS / "callers.md").read_text(encoding="utf-8")
    for kind in errors.Kind:
        answer = errors.ANSWERS[kind]
        row = f"| `{kind.value}` | {answer.status} | {answer.ran.value} |"
        assert row in page, row


def malformed_files():
    address = "127.0.0.1:1"
    names = ("callers", "health", "peers", "metrics")
    given = {
        "host_id": "h",
        "failure_domain": "a",
        "listen": dict.fromkeys(names, address),
        "store": {"url": f"http://{address}"},
        "stop": {"grace_s": 8.0},
        "prompts": {"exempt": ["a"]},
    }
    assert settings.build(
        given, entry_settings.DEFAULTS, entry_settings.Settings, entry_settings.check
    )
    yield from (malformed.NESTED, f"a: {malformed.NESTED}", "- " * 100_000, "{[1]: 2}")
    yield from (
        "a: 2026-99-99",
        "a: \0",
        "{1: 2}",
        "!!python/object:os.system x",
        "\xff",
    )
    fields = {
        ("host_id",): malformed.TEXTS,
        ("listen", "peers"): [f'"127.0.0.1:{port}"' for port in ("\u00b2", "\u0668")],
        ("stop", "grace_s"): [n for n in malformed.NUMBERS if n not in ALLOWED],
        ("prompts", "exempt"): ("7", "[1]", "[[]]", malformed.NESTED),
    }
    for path, values in fields.items():
        for value in values:
            yield malformed.encode(given, path, value).decode()


@behave.when("each malformed settings file of an entry host is read")
def read_malformed(context):
    context.unreported = []
    for text in malformed_files():
        with tempfile.NamedTemporaryFile("w", errors="surrogatepass") as file:
            file.write(text)
            file.flush()
            try:
                entry_settings.load(file.name)
                context.unreported.append((text[:80], "taken"))
            except settings.SettingsError as error:
                assert error.faults
            except Exception as error:
                context.unreported.append((text[:80], f"{error!r:.80}"))


@behave.then("each one is reported with its faults")
def all_reported(context):
    assert not context.unreported, context.unreported
