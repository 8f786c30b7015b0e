"""Templates and parameters that the bench writes to the platform."""
import datetime
import json
import pathlib
import re

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"
EXAMPLE_TEMPLATES = {"mesqel-gate": "ticketing", "vanua-voice": "studios"}
MOVE_START_S = 2
MOVE_SECONDS = 28
MOVE_HOLD_MS = 6000


def example(name):
    """Reads a file of examples/, without its comments."""
    text = (EXAMPLES / name).read_text()
    return json.loads(re.sub(r"^\s*//.*$", "", text, flags=re.M))


def filler_template(services):
    """A template with one route for each service."""
    return {
        "name": "filler", "version": 1,
        "parameters": [{"name": "wait", "type": "duration", "min": 100,
                        "max": 5000, "default": 800}],
        "classes": [{"name": "all", "priority": 0, "weight": 1}],
        "services": [{"name": name, "queue_limit": 32, "foreign_share": 0.0}
                     for name in services],
        "routes": [{"name": name, "service": name, "method": "GET",
                    "path_prefix": f"/{name}/", "class": "all",
                    "idempotent": True, "timeout_ms": {"parameter": "wait"},
                    "max_attempts": 2} for name in services],
        "moves": {"min_ramp_ms": 10000, "min_hold_ms": 5000,
                  "max_duration_ms": 86400000}}


def filler_parameters(services):
    """Parameters that expose all services of filler_template."""
    return {"account": "filler", "template": "filler", "template_version": 1,
            "values": {},
            "services": [{"name": name, "live_versions": ["v1"],
                          "last_plan": 0} for name in services]}


def box_office_parameters(timeout_ms):
    """Mesqel Gate's parameters, with one value to tell changes apart."""
    return changed_parameters("mesqel-gate", timeout_ms)


def box_office_move(plan):
    """Mesqel Gate's parameters with a move that starts soon."""
    def moment(seconds):
        now = datetime.datetime.now(datetime.timezone.utc)
        later = now + datetime.timedelta(seconds=seconds)
        return later.strftime("%Y-%m-%dT%H:%M:%SZ")

    parameters = box_office_parameters(600)
    service = parameters["services"][0]
    service["live_versions"] = ["v1", "v2"]
    service["last_plan"] = plan
    service["move"] = {"plan": plan, "from": "v1", "to": "v2",
                       "start": moment(MOVE_START_S),
                       "deadline": moment(MOVE_START_S + MOVE_SECONDS),
                       "hold_ms": MOVE_HOLD_MS}
    return parameters


# A value of each example that the bench changes.
CHANGED_VALUES = {"mesqel-gate": "seat-map-timeout",
                  "vanua-voice": "slots-timeout"}


def changed_parameters(account, value):
    """An example's parameters with one value that tells changes apart."""
    parameters = example(f"{account}.parameters.json")
    parameters["values"][CHANGED_VALUES[account]] = value
    return parameters


def put_examples(fleet, accounts=tuple(EXAMPLE_TEMPLATES)):
    """Writes examples; gives the revision by account."""
    revisions = {}
    for account in accounts:
        template = EXAMPLE_TEMPLATES[account]
        fleet.put(f"templates/{template}/1",
                  example(f"{account}.template.json"))
        revisions[account] = fleet.put(
            f"configurations/{account}",
            example(f"{account}.parameters.json"))
    return revisions


def put_fillers(fleet, services):
    """Writes the filler account; gives its revision by account."""
    fleet.put("templates/filler/1", filler_template(services))
    return {"filler": fleet.put("configurations/filler",
                                filler_parameters(services))}
