"""Steps for the settings feature."""

import pathlib

import behave
import yaml

from turmerictally import errors, settings

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
    page = (DOCS / "settings.md").read_text(encoding="utf-8")
    wanted = {f"| `{k}` | {_shown(v)} |" for k, v in _leaves(settings.DEFAULTS)}
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
