"""Steps for the settings feature."""

import behave
import yaml

from turmerictally import settings

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
    assert context.settings.listen.max_connections == 2000
