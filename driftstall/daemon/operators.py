"""Serve the operators' API on its own listener, authenticated by a token."""

from __future__ import annotations

import hmac
import uuid
from collections.abc import Iterable
from typing import Any, Final

import orjson
import voluptuous as vol

from driftstall.const import (
    CODE_BAD_REQUEST,
    CODE_LEAVING,
    CODE_NOT_FOUND,
    CODE_UNAUTHENTICATED,
    VERSION,
)
from driftstall.controllers.configuration import (
    ConfigChange,
    RunnerConfig,
    SubmitState,
    WorkspaceConfig,
)
from driftstall.core import Problem, Ran
from driftstall.daemon.http_responses import StartResponse, send_body, send_json, send_problem
from driftstall.daemon.node import Node
from driftstall.daemon.request_body import read_body
from driftstall.daemon.stats import COUNTERS, render
from driftstall.daemon.wire import config_to_json
from driftstall.decisions.poison_subjects import is_part
from driftstall.exceptions import InboundOverloadError, PolicyError
from driftstall.policy.evaluate import explain
from driftstall.policy.model import Facts
from driftstall.policy.parse import parse_policy

MAX_BODY_BYTES: Final = 1_000_000
SUBMIT_STATUS: Final = {
    SubmitState.ACCEPTED: 200,
    SubmitState.CONFLICT: 409,
    SubmitState.UNKNOWN: 504,
    SubmitState.UNREACHABLE: 503,
}
_TEXT: Final = vol.All(str, vol.Length(max=256))
WORKSPACE_SCHEMA: Final = vol.Schema(
    {
        vol.Required("name"): vol.All(_TEXT, vol.Match(r"^[\w.-]+$")),
        vol.Required("key_sha256"): _TEXT,
    }
)
RUNNER_SCHEMA: Final = vol.Schema(
    {
        vol.Required("runner_id"): vol.All(_TEXT, vol.Match(r"^[\w.-]+$")),
        vol.Required("address"): _TEXT,
        vol.Required("zone"): _TEXT,
        vol.Optional("model", default=""): _TEXT,
        vol.Optional("service", default=""): _TEXT,
        vol.Optional("memory_tokens", default=0): vol.All(int, vol.Range(min=0, max=100_000_000)),
        vol.Optional("checks_fences", default=True): bool,
    }
)
CHANGE_SCHEMA: Final = vol.Schema(
    {
        vol.Optional("submission"): vol.All(_TEXT, vol.Match(r"^[\w.-]+$")),
        vol.Optional("base_generation", default=None): vol.Any(None, int),
        vol.Optional("policy"): str,
        vol.Optional("workspaces"): [WORKSPACE_SCHEMA],
        vol.Optional("runners"): [RUNNER_SCHEMA],
    }
)
FACTS_SCHEMA: Final = vol.Schema(
    {
        vol.Required("kind"): _TEXT,
        vol.Required("workspace"): _TEXT,
        vol.Optional("model", default=""): _TEXT,
        vol.Optional("input_tokens", default=0): int,
        vol.Optional("max_tokens", default=0): int,
        vol.Optional("load", default=0.0): vol.Coerce(float),
        vol.Optional("hour", default=12): int,
    }
)


class OperatorsApp:
    """WSGI application of the operators' listener."""

    def __init__(self, node: Node) -> None:
        """Initialize the application of an instance."""
        self._node = node
        self._token = node.hub.settings.operator_token

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve one request; /metrics needs no token."""
        route = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        if route == "GET /metrics":
            return send_body(
                start, 200, render(self._node.hub.stats, self._collect_gauges()), "text/plain"
            )
        header = environ.get("HTTP_AUTHORIZATION", "")
        if not hmac.compare_digest(header.encode(), f"Bearer {self._token}".encode()):
            detail = "send the operator token as 'Authorization: Bearer TOKEN'"
            return send_problem(start, Problem(CODE_UNAUTHENTICATED, 401, detail, Ran.NOT_RUN))
        try:
            return self._route(route, environ, start)
        except vol.Invalid as invalid:
            return send_problem(start, _build_bad_request(str(invalid)))
        except PolicyError as fault:
            return send_problem(start, _build_bad_request(str(fault)))
        except orjson.JSONDecodeError:
            return send_problem(start, _build_bad_request("the body is not JSON"))
        except InboundOverloadError as fault:
            return send_problem(start, Problem(CODE_LEAVING, 503, str(fault), Ran.NOT_RUN, 1.0))

    def _route(self, route: str, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve one authenticated request by its method and path."""
        if route == "GET /operator/config":
            return send_json(start, 200, config_to_json(self._node.config.document))
        if route == "PUT /operator/config":
            return self._submit(_read_body(environ), start)
        if route.startswith("GET /operator/submissions/"):
            state = self._node.config.find_submission(route.rpartition("/")[2])
            return send_json(start, 200, {"state": state.value})
        if route == "POST /operator/explain":
            return self._explain(_read_body(environ), start)
        if route == "GET /operator/status":
            return send_json(start, 200, self._build_status())
        if route == "GET /operator/crashes":
            return send_json(start, 200, {"crashes": self._list_crashes()})
        if route.startswith("DELETE /operator/crashes/"):
            self._node.poison.clear(route.rpartition("/")[2])
            return send_json(start, 200, {"crashes": self._list_crashes()})
        if route == "POST /operator/drain":
            self._node.request_stop()
            return send_json(start, 200, {"phase": self._node.drain_phase.value})
        return send_problem(start, Problem(CODE_NOT_FOUND, 404, f"no {route}", Ran.NOT_RUN))

    def _list_crashes(self) -> list[dict[str, Any]]:
        """Return the quarantined requests and messages, which have crashed runners."""
        quarantined = self._node.poison.tracker.quarantined(self._node.hub.now())
        return [
            {
                "fingerprint": subject,
                "kind": "prompt part" if is_part(subject) else "request",
                "upstreams": verdict.upstream_ids,
                "wait_s": round(verdict.wait_s, 1),
                "companions": sorted(verdict.companions),
            }
            for subject, verdict in sorted(quarantined.items())
        ]

    def _submit(self, raw: Any, start: StartResponse) -> Iterable[bytes]:
        """Validate a change and submit it to the platform."""
        checked = CHANGE_SCHEMA(raw)
        if "policy" in checked:
            parse_policy(checked["policy"])
        change = ConfigChange(
            checked.get("submission", uuid.uuid4().hex),
            checked["base_generation"],
            checked.get("policy"),
            _build_items(WorkspaceConfig, checked.get("workspaces")),
            _build_items(RunnerConfig, checked.get("runners")),
        )
        submission = self._node.config.submit(change)
        answer: dict[str, Any] = {
            "submission": change.submission,
            "state": submission.state.value,
            "generation": submission.current.generation,
        }
        if submission.accepted is not None:
            answer["generation"] = submission.accepted.generation
        if submission.state is SubmitState.CONFLICT:
            answer["current"] = config_to_json(submission.current)
        return send_json(start, SUBMIT_STATUS[submission.state], answer)

    def _explain(self, raw: Any, start: StartResponse) -> Iterable[bytes]:
        """Respond with the policy rules that would decide a request with the given facts."""
        policy = self._node.config.policy
        if policy is None:
            return send_problem(start, _build_bad_request("no policy is in force yet"))
        return send_json(start, 200, explain(policy, Facts(**FACTS_SCHEMA(raw))))

    def _collect_gauges(self) -> dict[str, float]:
        """Return the gauges that are read at each scrape."""
        node = self._node
        return {
            "waiting_requests": sum(
                owned.waiting for owned in node.grants.owned_controllers.values()
            ),
            "memory_share": node.grants.load(),
            "live_instances": len(node.members.live),
            "config_generation": node.config.document.generation,
            "peer_dropped_messages": node.hub.links.dropped,
            "peer_rejected_messages": node.hub.links.rejected,
            "peer_sent_bytes": node.hub.links.sent_bytes,
        }

    def _build_status(self) -> dict[str, Any]:
        """Return this instance's state and its view of other instances, runners and groups."""
        node = self._node
        return {
            "instance": node.hub.own.instance_id,
            "version": VERSION,
            "ready": node.is_ready,
            "phase": node.drain_phase.value,
            "generation": node.config.document.generation,
            "policy": node.config.policy.name if node.config.policy else "",
            "counters": {name: getattr(node.hub.stats, name) for name in COUNTERS},
            "gauges": self._collect_gauges(),
            "instances": [
                {
                    "instance": member.instance_id,
                    "zone": member.zone,
                    "address": member.address,
                    "state": "leaving" if member.leaving else "live",
                }
                for member in node.members.live
            ],
            "runners": self._list_runners(),
            "groups": {
                name: {
                    "owner": node.ownership.owner_for(name),
                    "runners": [runner.runner_id for runner in runners],
                }
                for name, runners in node.fleet.groups.items()
            },
        }

    def _list_runners(self) -> list[dict[str, Any]]:
        """Return the state of all runners; grants and forecast only for those of owned groups."""
        node = self._node
        states = {}
        for controller in node.grants.owned_controllers.values():
            states.update(controller.runners)
        rows = []
        for runner in node.fleet.runners.values():
            state = states.get(runner.runner_id)
            rows.append(
                {
                    "runner": runner.runner_id,
                    "zone": runner.zone,
                    "serves": runner.model or runner.service,
                    "state": "live" if node.fleet.can_get_work(runner.runner_id) else "leaving",
                    "open": len(state.grants) if state else None,
                    "memory": runner.memory_tokens,
                    "forecast": round(state.forecast.peak(0.0)) if state else None,
                }
            )
        return rows


def _read_body(environ: dict[str, Any]) -> Any:
    """Read a JSON body; raise vol.Invalid if it is over MAX_BODY_BYTES."""
    raw = read_body(environ, MAX_BODY_BYTES)
    if raw is None:
        raise vol.Invalid(f"the body is over {MAX_BODY_BYTES} bytes")
    return orjson.loads(raw)


def _build_bad_request(detail: str) -> Problem:
    """Return the problem for a malformed request."""
    return Problem(CODE_BAD_REQUEST, 400, detail, Ran.NOT_RUN)


def _build_items(item_class: Any, raw: list[dict[str, Any]] | None) -> Any:
    """Build data class items from validated rows; None means no change."""
    return None if raw is None else tuple(item_class(**row) for row in raw)
