"""Language of scenario scripts: grammar, parser and step classes.

A script has one step per line, run from top to bottom; see
docs/scenarios.md.
"""

from __future__ import annotations

import pathlib
import typing

import attrs
import lark

GRAMMAR = r"""
start: _NL* (step _NL+)* step?
?step: cell | load | job | cancel | wait | kill | freeze | thaw | stop | restart
     | cut | heal | store | hosts | worker | apply | race | finish | expect
cell: "cell" "entries" INT "workers" INT
load: "load" NAME INT "over" TIME "service" NAME "team" NAME option*
option: "keyed" -> keyed
      | "patient" -> patient
      | "work" TIME -> work
      | "answer" INT "KB" -> answer
      | "deadline" TIME -> deadline
      | "fails" -> fails
job: "job" NAME POLICY INT "service" NAME "team" NAME "work" TIME
cancel: "cancel" NAME
wait: "wait" TIME
kill: "kill" NAME+
freeze: "freeze" NAME+
thaw: "thaw" NAME+
stop: "stop" NAME
restart: "restart" NAME+
cut: "cut" NAME "from" NAME
heal: "heal"
store: "store" STORE_FAULT
hosts: "hosts" "say" NAME HOST_STATE
worker: "worker" NAME WORKER_FAULT
apply: "apply" NAME "replicas" INT
race: "race" INT "operators"
finish: "finish" "within" TIME
expect: "expect" FACT [INT "%"]
POLICY: "batch" | "gang"
HOST_STATE: "leaving" | "gone" | "live"
STORE_FAULT: "down" | "slow" | "loses-answers" | "well"
WORKER_FAULT: "fails" | "doubles" | "late" | "leaves" | "well"
FACT: "whole" | "once" | "exclusive" | "not-run-true" | "not-overfilled"
    | "jobs-done" | "cancelled" | "served" | "store-spared" | "in-force" | "none-lost"
    | "one-winner" | "replicas" | "quiet-leaver" | "few-failed-starts"
NAME: /(?!over|service|team|from|say|within|replicas)[a-z][a-z0-9-]*/
TIME: /\d+(\.\d+)?(ms|s)/
COMMENT: /#[^\n]*/
%import common.INT
%import common.NEWLINE -> _NL
%import common.WS_INLINE
%ignore WS_INLINE
%ignore COMMENT
"""
MS_PER_SECOND = 1000


@attrs.frozen
class StartCluster:
    """Start a cluster of entry hosts and workers in three zones."""

    entry_count: int
    worker_count: int


@attrs.frozen
class Load:
    """Send ``count`` requests, evenly spread over ``seconds``.

    Times in ``options`` are in seconds, the answer size is in KiB.
    """

    name: str
    count: int
    seconds: float
    service: str
    team: str
    options: dict[str, float]


@attrs.frozen
class Job:
    """Submit a job of ``count`` tasks that work for some seconds each."""

    name: str
    policy: str
    count: int
    service: str
    team: str
    work_seconds: float


@attrs.frozen
class Cancel:
    """Cancel a job by its name."""

    name: str


@attrs.frozen
class Wait:
    """Wait for a time in seconds."""

    seconds: float


@attrs.frozen
class ControlProcesses:
    """Kill, freeze, thaw, stop or restart processes by name."""

    action: str
    names: list[str]


@attrs.frozen
class Cut:
    """Cut the connections from a zone to another or to the platform."""

    zone: str
    target: str


@attrs.frozen
class Heal:
    """End all cuts."""


@attrs.frozen
class SetFault:
    """Set a fault of the store or a worker, or a state in the host list.

    ``component`` is ``store``, ``worker`` or ``hosts``.
    """

    component: str
    name: str
    fault: str


@attrs.frozen
class ApplyReplicas:
    """Apply the operator configuration with a new replica count."""

    service: str
    replicas: int


@attrs.frozen
class RaceOperators:
    """Apply a different edit per operator to one revision concurrently."""

    operator_count: int


@attrs.frozen
class Finish:
    """Wait for every load and job to end, at most some seconds."""

    seconds: float


@attrs.frozen
class Expect:
    """Check that a fact holds for what was observed so far."""

    fact: str
    percent: int


Step = (
    StartCluster
    | Load
    | Job
    | Cancel
    | Wait
    | ControlProcesses
    | Cut
    | Heal
    | SetFault
    | ApplyReplicas
    | RaceOperators
    | Finish
    | Expect
)


class _StepBuilder(lark.Transformer):
    """Turns the syntax tree of a script into its steps.

    Each method is named after the grammar rule that it handles.
    """

    def start(self, steps: list) -> list[Step]:
        return steps

    def cell(self, arguments: list) -> Step:
        return StartCluster(int(arguments[0]), int(arguments[1]))

    def load(self, arguments: list) -> Step:
        name, count, duration, service, team, *options = arguments
        return Load(
            str(name),
            int(count),
            _parse_seconds(duration),
            str(service),
            str(team),
            dict(options),
        )

    def keyed(self, arguments: list) -> tuple[str, float]:
        return ('keyed', 1)

    def patient(self, arguments: list) -> tuple[str, float]:
        return ('patient', 1)

    def fails(self, arguments: list) -> tuple[str, float]:
        return ('fails', 1)

    def work(self, arguments: list) -> tuple[str, float]:
        return ('work', _parse_seconds(arguments[0]))

    def deadline(self, arguments: list) -> tuple[str, float]:
        return ('deadline', _parse_seconds(arguments[0]))

    def answer(self, arguments: list) -> tuple[str, float]:
        return ('answer', int(arguments[0]))

    def job(self, arguments: list) -> Step:
        name, policy, count, service, team, work_time = arguments
        return Job(
            str(name),
            str(policy),
            int(count),
            str(service),
            str(team),
            _parse_seconds(work_time),
        )

    def cancel(self, arguments: list) -> Step:
        return Cancel(str(arguments[0]))

    def wait(self, arguments: list) -> Step:
        return Wait(_parse_seconds(arguments[0]))

    def kill(self, arguments: list) -> Step:
        return ControlProcesses('kill', list(map(str, arguments)))

    def freeze(self, arguments: list) -> Step:
        return ControlProcesses('freeze', list(map(str, arguments)))

    def thaw(self, arguments: list) -> Step:
        return ControlProcesses('thaw', list(map(str, arguments)))

    def stop(self, arguments: list) -> Step:
        return ControlProcesses('stop', list(map(str, arguments)))

    def restart(self, arguments: list) -> Step:
        return ControlProcesses('restart', list(map(str, arguments)))

    def cut(self, arguments: list) -> Step:
        return Cut(str(arguments[0]), str(arguments[1]))

    def heal(self, arguments: list) -> Step:
        return Heal()

    def store(self, arguments: list) -> Step:
        return SetFault('store', 'store', str(arguments[0]))

    def hosts(self, arguments: list) -> Step:
        return SetFault('hosts', str(arguments[0]), str(arguments[1]))

    def worker(self, arguments: list) -> Step:
        return SetFault('worker', str(arguments[0]), str(arguments[1]))

    def apply(self, arguments: list) -> Step:
        return ApplyReplicas(str(arguments[0]), int(arguments[1]))

    def race(self, arguments: list) -> Step:
        return RaceOperators(int(arguments[0]))

    def finish(self, arguments: list) -> Step:
        return Finish(_parse_seconds(arguments[0]))

    def expect(self, arguments: list) -> Step:
        percent = arguments[1] if len(arguments) > 1 else None
        return Expect(str(arguments[0]), int(percent or 0))


def _parse_seconds(duration: str) -> float:
    if duration.endswith('ms'):
        return float(duration[:-2]) / MS_PER_SECOND
    return float(duration[:-1])


_parser = lark.Lark(GRAMMAR, parser='lalr')


def parse_script(text: str) -> list[Step]:
    """Return the steps of a script.

    Raises ``lark.LarkError`` if the script is not valid.
    """
    tree = _parser.parse(text)
    return typing.cast('list[Step]', _StepBuilder().transform(tree))


def read_script(path: pathlib.Path) -> list[Step]:
    """Return the steps of a script file."""
    return parse_script(path.read_text())
