"""A caller that reads and writes through changing entry hosts."""

import random
from dataclasses import dataclass, replace
from typing import Final

from azurerelay.embedded import EmbeddedSystem
from azurerelay.experiments._history import History, OperationKind, OperationRecord
from azurerelay.experiments._load_mix import LoadMix
from azurerelay.requests import CallerAnswer, CallerRequest, Operation, Outcome
from azurerelay.timing import TimerService, sleep, spawn

TIMEOUT_MS: Final = 3_000.0
MAX_ATTEMPTS: Final = 6
RESEND_PAUSE_MS: Final = 50.0
RECENT_WRITES: Final = 50


@dataclass(frozen=True, slots=True)
class _Seen:
    """The session's position in one group and its last own marker."""

    term: int = 0
    position: int = 0
    marker: str = ""


class SimulatedCaller:
    """Run one session after another operation until it is stopped."""

    def __init__(
        self,
        name: str,
        system: EmbeddedSystem,
        timers: TimerService,
        random_source: random.Random,
        mix: LoadMix,
        history: History,
    ) -> None:
        self._name = name
        self._system = system
        self._timers = timers
        self._random = random_source
        self._mix = mix
        self._history = history
        self._seen: dict[str, _Seen] = {}
        self._count = 0
        self._is_stopped = False
        self._is_busy = False

    @property
    def is_busy(self) -> bool:
        """Whether an operation is under way."""
        return self._is_busy

    def start(self) -> None:
        """Begin."""
        spawn(self._run())

    def stop(self) -> None:
        """Begin no further operation."""
        self._is_stopped = True

    async def _run(self) -> None:
        mix = self._mix
        kinds = list(OperationKind)
        weights = [
            mix.stale_reads,
            mix.session_reads,
            mix.keyed_writes,
            mix.repeatable_writes,
            mix.transactions,
        ]
        while not self._is_stopped:
            await sleep(self._timers, self._random.expovariate(1.0 / mix.pause_ms))
            if self._is_stopped:
                return
            self._is_busy = True
            await self._operate(self._random.choices(kinds, weights)[0])
            self._is_busy = False

    async def _operate(self, kind: OperationKind) -> None:
        group = self._random.choice(self._system.shape.groups)
        self._count += 1
        marker = f"{self._name}-{self._count}"
        if kind is OperationKind.STALE_READ:
            await self._stale_read(group)
        elif kind is OperationKind.SESSION_READ:
            await self._session_read(group)
        elif kind is OperationKind.TRANSACTION:
            await self._transaction(group, marker)
        else:
            await self._write(kind, group, marker)

    async def _call(self, request: CallerRequest) -> CallerAnswer | None:
        entries = sorted(self._system.entries)
        if not entries:
            await sleep(self._timers, RESEND_PAUSE_MS)
            return None
        return await self._system.call(self._random.choice(entries), request)

    async def _write(self, kind: OperationKind, group: str, marker: str) -> None:
        """Write once, resending with the same key until the outcome is known."""
        is_keyed = kind is OperationKind.KEYED_WRITE
        request = CallerRequest(
            operation=Operation.WRITE,
            group=group,
            timeout_ms=TIMEOUT_MS,
            caller=self._name,
            statement="add" if is_keyed else "put",
            parameters=(marker, 1),
            is_idempotent=not is_keyed,
            idempotency_key=marker if is_keyed else None,
        )
        started_ms = self._timers.now_ms()
        answer: CallerAnswer | None = None
        attempts = 0
        may_have_run = False
        rounds = 0
        while rounds < MAX_ATTEMPTS and not self._is_stopped:
            rounds += 1
            attempts += 1
            if is_keyed and self._random.randrange(100) < self._mix.resend_percent:
                spawn(self._call(request))
                spawn(self._call(request))
                attempts += 2
            answer = await self._call(request)
            if answer is not None and answer.is_done:
                break
            is_open = answer is None or answer.outcome is Outcome.UNKNOWN
            may_have_run = may_have_run or is_open
            await sleep(self._timers, RESEND_PAUSE_MS)
        self._record(kind, group, marker, started_ms, answer, attempts, may_have_run)
        if answer is not None and answer.is_done:
            self._advance(group, answer, marker)

    async def _session_read(self, group: str) -> None:
        seen = self._seen.get(group, _Seen())
        if not seen.marker:
            await self._stale_read(group)
            return
        await self._read(OperationKind.SESSION_READ, group, seen.marker, seen)

    async def _stale_read(self, group: str) -> None:
        confirmed = self._history.confirmed_writes(group)
        recent = confirmed[-RECENT_WRITES:]
        marker = self._random.choice(recent).marker if recent else "none"
        await self._read(OperationKind.STALE_READ, group, marker, _Seen())

    async def _read(
        self, kind: OperationKind, group: str, marker: str, seen: _Seen
    ) -> None:
        request = CallerRequest(
            operation=Operation.READ,
            group=group,
            timeout_ms=TIMEOUT_MS,
            caller=self._name,
            statement="get",
            parameters=(marker,),
            token_term=seen.term,
            token_position=seen.position,
            max_staleness_ms=self._mix.max_staleness_ms,
        )
        started_ms = self._timers.now_ms()
        answer = await self._call(request)
        self._record(kind, group, marker, started_ms, answer, 1, False, seen)
        if kind is OperationKind.SESSION_READ and answer is not None:
            self._advance(group, answer, seen.marker)

    async def _transaction(self, group: str, marker: str) -> None:
        begin = CallerRequest(
            operation=Operation.BEGIN,
            group=group,
            timeout_ms=TIMEOUT_MS,
            caller=self._name,
        )
        started_ms = self._timers.now_ms()
        answer = await self._call(begin)
        if answer is None or not answer.is_done:
            return
        name = answer.transaction
        for half in ("a", "b"):
            write = replace(
                begin,
                operation=Operation.WRITE,
                statement="add",
                parameters=(f"{marker}-{half}", 1),
                transaction=name,
            )
            answer = await self._call(write)
            if answer is None or not answer.is_done:
                break
        if answer is not None and answer.is_done:
            commit = replace(begin, operation=Operation.COMMIT, transaction=name)
            answer = await self._call(commit)
            may_have_run = answer is None or answer.outcome is Outcome.UNKNOWN
        else:
            # Without a commit nothing may become visible, whatever was answered.
            not_committed = CallerAnswer(Outcome.NOT_RUN)
            answer, may_have_run = not_committed, False
        kind = OperationKind.TRANSACTION
        self._record(kind, group, marker, started_ms, answer, 1, may_have_run)
        if answer is not None and answer.is_done:
            self._advance(group, answer, self._seen.get(group, _Seen()).marker)

    def _record(
        self,
        kind: OperationKind,
        group: str,
        marker: str,
        started_ms: float,
        answer: CallerAnswer | None,
        attempts: int,
        may_have_run: bool,
        seen: _Seen | None = None,
    ) -> None:
        seen = seen or _Seen()
        outcome = answer.outcome if answer is not None else None
        if outcome is Outcome.NOT_RUN and may_have_run:
            outcome = Outcome.UNKNOWN
        value = None
        if answer is not None and answer.rows:
            cell = answer.rows[0][0]
            value = cell if isinstance(cell, int) else None
        self._history.add(
            OperationRecord(
                kind=kind,
                caller=self._name,
                group=group,
                marker=marker,
                started_ms=started_ms,
                ended_ms=self._timers.now_ms(),
                outcome=outcome,
                term=answer.term if answer else 0,
                position=answer.position if answer else 0,
                token_term=seen.term,
                token_position=seen.position,
                value=value,
                staleness_ms=answer.staleness_ms if answer else None,
                max_staleness_ms=self._mix.max_staleness_ms,
                is_from_replica=answer.is_from_replica if answer else False,
                attempts=attempts,
                is_replay=answer.is_replay if answer else False,
                detail=f"{answer.code.value}: {answer.detail}" if answer else "",
            )
        )

    def _advance(self, group: str, answer: CallerAnswer, marker: str) -> None:
        seen = self._seen.get(group, _Seen())
        newest = max((seen.term, seen.position), (answer.term, answer.position))
        self._seen[group] = _Seen(newest[0], newest[1], marker)
