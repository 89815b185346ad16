"""The language of scenario scripts: a grammar and the steps it gives.

A script is read line by line from top to bottom; see docs/scenarios.md.
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
MILLI = 1000


@attrs.frozen
class Cell:
    """Start so many entry hosts and workers in three zones."""

    entries: int
    workers: int


@attrs.frozen
class Load:
    """Send requests, evenly spread over a time in seconds."""

    name: str
    count: int
    seconds: float
    service: str
    team: str
    options: dict[str, float]


@attrs.frozen
class Job:
    """Submit a job with so many tasks."""

    name: str
    policy: str
    count: int
    service: str
    team: str
    work: float


@attrs.frozen
class Cancel:
    """Cancel a job by its name."""

    name: str


@attrs.frozen
class Wait:
    """Let time pass, in seconds."""

    seconds: float


@attrs.frozen
class Signal:
    """Kill, freeze, thaw, stop or restart processes by name."""

    what: str
    names: list[str]


@attrs.frozen
class Cut:
    """Cut a zone from another or from the platform, in this direction."""

    zone: str
    target: str


@attrs.frozen
class Heal:
    """End every cut."""


@attrs.frozen
class Fault:
    """Set the fault of the store, of a worker or in the host list."""

    where: str
    name: str
    fault: str


@attrs.frozen
class Apply:
    """Accept the text with another number of replicas of a service."""

    service: str
    replicas: int


@attrs.frozen
class Race:
    """Let operators apply different texts to one revision at once."""

    operators: int


@attrs.frozen
class Finish:
    """Wait for every load and job to end."""

    seconds: float


@attrs.frozen
class Expect:
    """Check a fact from the stand-ins' records and callers' answers."""

    fact: str
    percent: int


Step = (
    Cell
    | Load
    | Job
    | Cancel
    | Wait
    | Signal
    | Cut
    | Heal
    | Fault
    | Apply
    | Race
    | Finish
    | Expect
)


class _Steps(lark.Transformer):
    """Turns the tree of a script into its steps."""

    def start(self, steps: list) -> list[Step]:
        return steps

    def cell(self, words: list) -> Step:
        return Cell(int(words[0]), int(words[1]))

    def load(self, words: list) -> Step:
        name, count, seconds, service, team, *options = words
        return Load(
            str(name),
            int(count),
            _seconds(seconds),
            str(service),
            str(team),
            dict(options),
        )

    def keyed(self, words: list) -> tuple[str, float]:
        return ('keyed', 1)

    def patient(self, words: list) -> tuple[str, float]:
        return ('patient', 1)

    def fails(self, words: list) -> tuple[str, float]:
        return ('fails', 1)

    def work(self, words: list) -> tuple[str, float]:
        return ('work', _seconds(words[0]))

    def deadline(self, words: list) -> tuple[str, float]:
        return ('deadline', _seconds(words[0]))

    def answer(self, words: list) -> tuple[str, float]:
        return ('answer', int(words[0]))

    def job(self, words: list) -> Step:
        name, policy, count, service, team, work = words
        return Job(
            str(name),
            str(policy),
            int(count),
            str(service),
            str(team),
            _seconds(work),
        )

    def cancel(self, words: list) -> Step:
        return Cancel(str(words[0]))

    def wait(self, words: list) -> Step:
        return Wait(_seconds(words[0]))

    def kill(self, words: list) -> Step:
        return Signal('kill', list(map(str, words)))

    def freeze(self, words: list) -> Step:
        return Signal('freeze', list(map(str, words)))

    def thaw(self, words: list) -> Step:
        return Signal('thaw', list(map(str, words)))

    def stop(self, words: list) -> Step:
        return Signal('stop', list(map(str, words)))

    def restart(self, words: list) -> Step:
        return Signal('restart', list(map(str, words)))

    def cut(self, words: list) -> Step:
        return Cut(str(words[0]), str(words[1]))

    def heal(self, words: list) -> Step:
        return Heal()

    def store(self, words: list) -> Step:
        return Fault('store', 'store', str(words[0]))

    def hosts(self, words: list) -> Step:
        return Fault('hosts', str(words[0]), str(words[1]))

    def worker(self, words: list) -> Step:
        return Fault('worker', str(words[0]), str(words[1]))

    def apply(self, words: list) -> Step:
        return Apply(str(words[0]), int(words[1]))

    def race(self, words: list) -> Step:
        return Race(int(words[0]))

    def finish(self, words: list) -> Step:
        return Finish(_seconds(words[0]))

    def expect(self, words: list) -> Step:
        percent = words[1] if len(words) > 1 else None
        return Expect(str(words[0]), int(percent or 0))


def _seconds(text: str) -> float:
    if text.endswith('ms'):
        return float(text[:-2]) / MILLI
    return float(text[:-1])


_parser = lark.Lark(GRAMMAR, parser='lalr')


def parse(text: str) -> list[Step]:
    """Return the steps of a script; raises ``lark.LarkError`` on a fault."""
    tree = _parser.parse(text)
    return typing.cast('list[Step]', _Steps().transform(tree))


def read(path: pathlib.Path) -> list[Step]:
    """Return the steps of a script file."""
    return parse(path.read_text())
