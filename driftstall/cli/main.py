"""Driftstall: the operators' and callers' command.

Usage:
  driftstall policy check FILE
  driftstall policy submit FILE [--base=GEN] [--id=ID] [options]
  driftstall policy show [options]
  driftstall policy explain KIND WORKSPACE [--model=M] [--input=N] [--cap=N]
                            [--route-rank=N] [--load=SHARE] [options]
  driftstall policy try FILE TRACE [--json]
  driftstall config show [options]
  driftstall config submit FILE [--base=GEN] [--id=ID] [options]
  driftstall config settle ID [options]
  driftstall status queue [--metrics=ADDR] [--json]
  driftstall status [options]
  driftstall drain [options]
  driftstall locate [options]
  driftstall chat TEXT [--kind=KIND] [--model=M] [--cap=N] [--deadline=S] [options]
  driftstall key KEY
  driftstall explain ID [FILE...]
  driftstall crashes [--metrics=ADDR] [--json]
  driftstall crashes clear FINGERPRINT [--metrics=ADDR]
  driftstall --help

Options:
  --instance=ADDR  Callers' address of any instance [default: 127.0.0.1:8000].
  --operator=ADDR  Operators' address of an instance [default: 127.0.0.1:8200].
  --metrics=ADDR   Metrics address of any instance on the platform [default: 127.0.0.1:9464].
  --store=ADDR     Address of the platform's store: policy submit, show and explain, config
                   show and status then work on the store, without an instance.
  --route-rank=N   Rank that the route or the workspace is configured with [default: 5].
  --load=SHARE     Share of engine memory in use, 0 to 1 [default: 0].
  --token=TOKEN    Operator token; DRIFTSTALL_OPERATOR_TOKEN is used without it.
  --key=KEY        Workspace key; DRIFTSTALL_KEY is used without it.
  --zone=ZONE      Own availability zone, for locate and chat.
  --base=GEN       Submit only if this generation is still the newest.
  --id=ID          Submission id, to ask for its outcome later.
  --kind=KIND      Request kind [default: chat].
  --model=M        Model [default: base].
  --input=N        Prompt tokens [default: 100].
  --cap=N          Most output tokens [default: 256].
  --deadline=S     Seconds after which the answer is of no use [default: 120].
  --json           Print JSON.

Examples:
  driftstall policy check examples/enrolment.policy
  driftstall policy submit examples/enrolment.policy --base=3
  driftstall policy explain summary north --input=4000
  driftstall chat "When is the deadline?" --key=KEY
  driftstall policy submit examples/enrolment.policy --store=10.200.1.7:8742
  driftstall explain 9c41d07be2a35f68 logs/*.log
  driftstall status queue --metrics=10.1.0.19:9464
  driftstall crashes clear 5f1c0a9be2a35f68d0417be2 --metrics=10.1.0.19:9464

Exit codes:
  0 ok, 1 refused or wrong input, 2 wrong usage, 3 conflict, 4 unknown outcome,
  5 unreachable.
"""

from __future__ import annotations

import hashlib
import os
import sys
import uuid
from pathlib import Path
from typing import Any, Final

import orjson
from docopt import DocoptExit, docopt

from driftstall.cli.client import Answer, Caller, ChatEnd, ChatPart, call_json
from driftstall.cli.crashes import run_crashes
from driftstall.cli.explain import explain_request
from driftstall.cli.queue_status import print_queue_status
from driftstall.cli.store_commands import run_on_store
from driftstall.cli.tables import print_status
from driftstall.cli.try_policy import try_policy
from driftstall.exceptions import PolicyError, UpstreamError
from driftstall.policy.parse import parse_policy

EXIT_OK: Final = 0
EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNKNOWN: Final = 4
EXIT_UNREACHABLE: Final = 5
STATUS_EXIT: Final = {200: EXIT_OK, 409: EXIT_CONFLICT, 503: EXIT_UNREACHABLE, 504: EXIT_UNKNOWN}
STATE_EXIT: Final = {"accepted": EXIT_OK}


def main(argv: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    try:
        options = docopt(__doc__ or "", argv=argv)
    except DocoptExit as fault:
        print(fault, file=sys.stderr)
        return EXIT_USAGE
    try:
        return _run(options)
    except PolicyError as fault:
        print(f"driftstall: {options['FILE']}: {fault}", file=sys.stderr)
        return EXIT_REFUSED
    except UpstreamError as fault:
        print(f"driftstall: {fault}", file=sys.stderr)
        return EXIT_UNKNOWN if fault.sent else EXIT_UNREACHABLE
    except (OSError, orjson.JSONDecodeError, ValueError) as fault:
        print(f"driftstall: {fault}", file=sys.stderr)
        return EXIT_REFUSED


def _run(options: dict[str, Any]) -> int:
    """Dispatch to the chosen command and return its exit code."""
    if options["explain"] and not options["policy"]:
        return explain_request(options["ID"], options["FILE"])
    if options["crashes"]:
        return run_crashes(options)
    if options["queue"]:
        return print_queue_status(options)
    options["FILE"] = options["FILE"][0] if options["FILE"] else None
    if options["--store"] and not options["check"]:
        return run_on_store(options)
    if options["policy"]:
        return _run_policy_command(options)
    if options["config"]:
        return _run_config_command(options)
    if options["status"]:
        return _print_status(options)
    if options["drain"]:
        return _print_answer(_call_operator(options, "POST", "/operator/drain", {}))
    if options["locate"]:
        print("\n".join(_build_caller(options).locate()))
        return EXIT_OK
    if options["KEY"]:
        print(hashlib.sha256(options["KEY"].encode()).hexdigest())
        return EXIT_OK
    return _run_chat(options)


def _run_policy_command(options: dict[str, Any]) -> int:
    """Run a policy command."""
    if options["check"]:
        policy = parse_policy(Path(options["FILE"]).read_text())
        print(f"{policy.name}: {len(policy.rules)} rules, at most {policy.steps} steps")
        return EXIT_OK
    if options["submit"]:
        text = Path(options["FILE"]).read_text()
        parse_policy(text)
        return _submit(options, {"policy": text})
    if options["show"]:
        answer = _call_operator(options, "GET", "/operator/config")
        print(answer.value["policy"], end="")
        return EXIT_OK
    if options["explain"]:
        return _explain(options)
    return try_policy(options["FILE"], options["TRACE"], as_json=options["--json"])


def _explain(options: dict[str, Any]) -> int:
    """Print the rules that were checked for a request, and the policy's verdict."""
    facts = {
        "kind": options["KIND"],
        "workspace": options["WORKSPACE"],
        "model": options["--model"],
        "input_tokens": int(options["--input"]),
        "max_tokens": int(options["--cap"]),
    }
    answer = _call_operator(options, "POST", "/operator/explain", facts)
    if answer.status != 200 or options["--json"]:
        return _print_answer(answer)
    for check in answer.value["checks"]:
        result = "holds" if check["held"] else "does not hold"
        print(f"line {check['line']}, rule {check['rule']}: {check['condition']} {result}")
    verdict = answer.value["verdict"]
    if verdict["queue_rank"] is None:
        verdict["queue_rank"] = verdict["rank"]
    for name, value in verdict.items():
        print(f"  {name} = {value}")
    return EXIT_OK


def _run_config_command(options: dict[str, Any]) -> int:
    """Run a configuration command."""
    if options["show"]:
        return _print_answer(_call_operator(options, "GET", "/operator/config"))
    if options["settle"]:
        answer = _call_operator(options, "GET", f"/operator/submissions/{options['ID']}")
        _print_answer(answer)
        return STATE_EXIT.get(answer.value.get("state"), EXIT_UNKNOWN)
    return _submit(options, orjson.loads(Path(options["FILE"]).read_bytes()))


def _submit(options: dict[str, Any], change: dict[str, Any]) -> int:
    """Submit a change under an id, by which its outcome can be queried later."""
    change["submission"] = options["--id"] or uuid.uuid4().hex
    if options["--base"]:
        change["base_generation"] = int(options["--base"])
    try:
        answer = _call_operator(options, "PUT", "/operator/config", change)
    except UpstreamError as fault:
        if not fault.sent:
            raise
        settle = f"driftstall config settle {change['submission']}"
        print(f"driftstall: the outcome is unknown ({fault}); ask: {settle}", file=sys.stderr)
        return EXIT_UNKNOWN
    return _print_answer(answer)


def _print_status(options: dict[str, Any]) -> int:
    """Print the status of an instance."""
    answer = _call_operator(options, "GET", "/operator/status")
    if answer.status != 200 or options["--json"]:
        return _print_answer(answer)
    print_status(answer.value)
    return EXIT_OK


def _run_chat(options: dict[str, Any]) -> int:
    """Send one chat request and print the answer as it is streamed."""
    body = {
        "model": options["--model"],
        "max_tokens": int(options["--cap"]),
        "messages": [{"role": "user", "content": options["TEXT"]}],
    }
    deadline_s = float(options["--deadline"])
    for part in _build_caller(options).chat(body, options["--kind"], deadline_s=deadline_s):
        if isinstance(part, ChatPart):
            print(part.text, end="", flush=True)
        elif isinstance(part, ChatEnd) and part.problem is not None:
            print(f"\ndriftstall: {part.problem['detail']}", file=sys.stderr)
            is_not_executed = part.problem.get("ran") == "not run"
            return EXIT_REFUSED if is_not_executed else EXIT_UNKNOWN
    print()
    return EXIT_OK


def _call_operator(options: dict[str, Any], method: str, path: str, value: Any = None) -> Answer:
    """Send a request to the operators' listener."""
    token = options["--token"] or os.environ.get("DRIFTSTALL_OPERATOR_TOKEN", "")
    return call_json(options["--operator"], method, path, token, value)


def _build_caller(options: dict[str, Any]) -> Caller:
    """Return a client that uses the workspace key."""
    key = options["--key"] or os.environ.get("DRIFTSTALL_KEY", "")
    return Caller((options["--instance"],), key, options["--zone"] or "")


def _print_answer(answer: Answer) -> int:
    """Print an answer's JSON and return the exit code for its status."""
    print(orjson.dumps(answer.value, option=orjson.OPT_INDENT_2).decode())
    return STATUS_EXIT.get(answer.status, EXIT_REFUSED)


if __name__ == "__main__":
    sys.exit(main())
