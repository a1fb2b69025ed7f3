"""A simulated caller that sends each request to a random entry host."""

import random
from dataclasses import dataclass, replace
from typing import Final

from azurerelay.embedded import EmbeddedSystem
from azurerelay.experiments._history import History, OperationKind, OperationRecord
from azurerelay.experiments._load_mix import LoadMix
from azurerelay.requests import CallerAnswer, CallerRequest, Operation, Outcome
from azurerelay.timing import TimerService, sleep, spawn

TIMEOUT_MS: Final = 3_000.0
MAX_ROUNDS: Final = 6
RETRY_PAUSE_MS: Final = 50.0
RECENT_WRITE_COUNT: Final = 50


@dataclass(frozen=True, slots=True)
class _GroupSession:
    """The session's position in one group and the key of its last single write."""

    term: int = 0
    position: int = 0
    key: str = ""


class SimulatedCaller:
    """Run random operations in one session, one at a time, until stopped."""

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
        self._sessions: dict[str, _GroupSession] = {}
        self._operation_count = 0
        self._is_stopped = False
        self._is_busy = False

    @property
    def is_busy(self) -> bool:
        """Whether an operation is in progress."""
        return self._is_busy

    def start(self) -> None:
        """Start to run operations."""
        spawn(self._run())

    def stop(self) -> None:
        """Start no further operation and no further attempt of the current write."""
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
            await sleep(self._timers, self._random.expovariate(1.0 / mix.mean_pause_ms))
            if self._is_stopped:
                return
            self._is_busy = True
            await self._run_operation(self._random.choices(kinds, weights)[0])
            self._is_busy = False

    async def _run_operation(self, kind: OperationKind) -> None:
        group = self._random.choice(self._system.shape.groups)
        self._operation_count += 1
        key = f"{self._name}-{self._operation_count}"
        if kind is OperationKind.STALE_READ:
            await self._stale_read(group)
        elif kind is OperationKind.SESSION_READ:
            await self._session_read(group)
        elif kind is OperationKind.TRANSACTION:
            await self._transaction(group, key)
        else:
            await self._write(kind, group, key)

    async def _call(self, request: CallerRequest) -> CallerAnswer | None:
        entries = sorted(self._system.entries)
        if not entries:
            await sleep(self._timers, RETRY_PAUSE_MS)
            return None
        return await self._system.call(self._random.choice(entries), request)

    async def _write(self, kind: OperationKind, group: str, key: str) -> None:
        """Write one value; retry with the same key until confirmed or out of rounds."""
        is_keyed = kind is OperationKind.KEYED_WRITE
        request = CallerRequest(
            operation=Operation.WRITE,
            group=group,
            timeout_ms=TIMEOUT_MS,
            caller=self._name,
            statement="add" if is_keyed else "put",
            parameters=(key, 1),
            is_idempotent=not is_keyed,
            idempotency_key=key if is_keyed else None,
        )
        started_ms = self._timers.now_ms()
        answer: CallerAnswer | None = None
        attempts = 0
        may_have_run = False
        rounds = 0
        while rounds < MAX_ROUNDS and not self._is_stopped:
            rounds += 1
            attempts += 1
            if is_keyed and self._random.randrange(100) < self._mix.duplicate_percent:
                spawn(self._call(request))
                spawn(self._call(request))
                attempts += 2
            answer = await self._call(request)
            if answer is not None and answer.is_done:
                break
            is_outcome_unknown = answer is None or answer.outcome is Outcome.UNKNOWN
            may_have_run = may_have_run or is_outcome_unknown
            await sleep(self._timers, RETRY_PAUSE_MS)
        self._record(kind, group, key, started_ms, answer, attempts, may_have_run)
        if answer is not None and answer.is_done:
            self._update_session(group, answer, key)

    async def _session_read(self, group: str) -> None:
        session = self._sessions.get(group, _GroupSession())
        if not session.key:
            await self._stale_read(group)
            return
        await self._read(OperationKind.SESSION_READ, group, session.key, session)

    async def _stale_read(self, group: str) -> None:
        confirmed = self._history.confirmed_writes(group)
        recent = confirmed[-RECENT_WRITE_COUNT:]
        key = self._random.choice(recent).key if recent else "none"
        await self._read(OperationKind.STALE_READ, group, key, _GroupSession())

    async def _read(
        self, kind: OperationKind, group: str, key: str, session: _GroupSession
    ) -> None:
        request = CallerRequest(
            operation=Operation.READ,
            group=group,
            timeout_ms=TIMEOUT_MS,
            caller=self._name,
            statement="get",
            parameters=(key,),
            token_term=session.term,
            token_position=session.position,
            max_staleness_ms=self._mix.max_staleness_ms,
        )
        started_ms = self._timers.now_ms()
        answer = await self._call(request)
        self._record(kind, group, key, started_ms, answer, 1, False, session)
        if kind is OperationKind.SESSION_READ and answer is not None:
            self._update_session(group, answer, session.key)

    async def _transaction(self, group: str, key: str) -> None:
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
        transaction = answer.transaction
        for suffix in ("a", "b"):
            write = replace(
                begin,
                operation=Operation.WRITE,
                statement="add",
                parameters=(f"{key}-{suffix}", 1),
                transaction=transaction,
            )
            answer = await self._call(write)
            if answer is None or not answer.is_done:
                break
        if answer is not None and answer.is_done:
            commit = replace(begin, operation=Operation.COMMIT, transaction=transaction)
            answer = await self._call(commit)
            may_have_run = answer is None or answer.outcome is Outcome.UNKNOWN
        else:
            # Without a commit, nothing of the transaction may become visible, whatever
            # the last answer was.
            not_committed = CallerAnswer(Outcome.NOT_RUN)
            answer, may_have_run = not_committed, False
        kind = OperationKind.TRANSACTION
        self._record(kind, group, key, started_ms, answer, 1, may_have_run)
        if answer is not None and answer.is_done:
            self._update_session(
                group, answer, self._sessions.get(group, _GroupSession()).key
            )

    def _record(
        self,
        kind: OperationKind,
        group: str,
        key: str,
        started_ms: float,
        answer: CallerAnswer | None,
        attempts: int,
        may_have_run: bool,
        session: _GroupSession | None = None,
    ) -> None:
        session = session or _GroupSession()
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
                key=key,
                started_ms=started_ms,
                ended_ms=self._timers.now_ms(),
                outcome=outcome,
                term=answer.term if answer else 0,
                position=answer.position if answer else 0,
                token_term=session.term,
                token_position=session.position,
                value=value,
                staleness_ms=answer.staleness_ms if answer else None,
                max_staleness_ms=self._mix.max_staleness_ms,
                is_from_replica=answer.is_from_replica if answer else False,
                attempts=attempts,
                is_replay=answer.is_replay if answer else False,
                detail=f"{answer.code.value}: {answer.detail}" if answer else "",
            )
        )

    def _update_session(self, group: str, answer: CallerAnswer, key: str) -> None:
        session = self._sessions.get(group, _GroupSession())
        newest = max((session.term, session.position), (answer.term, answer.position))
        self._sessions[group] = _GroupSession(newest[0], newest[1], key)
