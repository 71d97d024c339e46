"""Callers that send payments again as the answers allow."""

from itertools import count
from random import Random

import attrs

from azurestep.once import messages as m
from azurestep.once.key import generate_key

from .once_faults import DATA_CENTRES, INSTANCES, Payment
from .once_model import CALLER_TIMEOUT_MS, EPOCH_MS, SERVICE, Model

MAX_COPIES = 8


@attrs.define
class _Copy:
    key: str
    attempt: int
    outcome: m.Outcome | None = None
    abandoned: bool = False


@attrs.define
class _Pursuit:
    """One payment and the copies sent for it."""

    payment: Payment
    key: str = ""
    copies: dict[str, _Copy] = attrs.field(factory=dict)
    done: bool = False

    def of_key(self) -> list[_Copy]:
        """Return the copies that carry the present key."""
        return [copy for copy in self.copies.values() if copy.key == self.key]


@attrs.define
class PayingCallers:
    """Callers of all payments of a history.

    A caller that declares its attempts has one copy under way at a time and
    ignores the answer to a copy that it gave up. Others also send copies at the
    same time. Both use a new key only as the answers allow.
    """

    model: Model
    random: Random
    _pursuits: dict[str, _Pursuit] = attrs.field(factory=dict)
    _payment_of_key: dict[str, str] = attrs.field(factory=dict)
    _ids: count = attrs.field(factory=count)  # type: ignore[type-arg]

    def start(self) -> None:
        """Schedule the payments."""
        for payment in self.model.history.payments:
            pursuit = _Pursuit(payment)
            self._pursuits[payment.name] = pursuit
            self.model.at(payment.at_ms, lambda pursuit=pursuit: self._begin(pursuit))

    def payment_of(self, key: str) -> str:
        """Return the payment that a key belongs to."""
        return self._payment_of_key.get(key, key)

    def is_heard(self, request_id: str) -> bool:
        """Return whether the caller still waits for this copy."""
        copy = self._copy(request_id)
        return copy is not None and not copy.abandoned

    def answered(self, answer: m.AnswerCaller) -> None:
        """Take an answer."""
        copy = self._copy(answer.request_id)
        if copy is None or copy.abandoned:
            return
        pursuit = self._pursuits[answer.request_id.partition("/")[0]]
        copy.outcome = answer.outcome
        if answer.outcome is m.Outcome.RAN:
            self._finish(pursuit)
        elif not pursuit.done and copy.key == pursuit.key:
            self._go_on(pursuit, answer)

    def _copy(self, request_id: str) -> _Copy | None:
        pursuit = self._pursuits.get(request_id.partition("/")[0])
        return pursuit.copies.get(request_id) if pursuit else None

    def _finish(self, pursuit: _Pursuit) -> None:
        if pursuit.done:
            return
        pursuit.done = True
        name = pursuit.payment.name
        self.model.tally.served.add(name)
        waited_ms = self.model.now_ms - pursuit.payment.at_ms
        self.model.tally.served_after_ms[name] = waited_ms

    def _begin(self, pursuit: _Pursuit) -> None:
        self._new_key(pursuit, ())
        self._send(pursuit)
        if not pursuit.payment.declares and self.random.random() < 0.3:
            self.model.after(self.random.randint(0, 300), lambda: self._send(pursuit))
        if self.random.random() < 0.15:
            late_ms = self.random.randint(5000, 60_000)
            key = pursuit.key
            self.model.after(late_ms, lambda: self._send_late(pursuit, key))

    def _new_key(self, pursuit: _Pursuit, open_slots: tuple[int, ...]) -> None:
        wall_ms = EPOCH_MS + self.model.now_ms + pursuit.payment.clock_ms
        last_byte = self.random.randrange(256)
        if open_slots:
            last_byte = self.random.choice(open_slots)
        pursuit.key = generate_key(wall_ms, last_byte, self.random).text
        self._payment_of_key[pursuit.key] = pursuit.payment.name

    def _send_late(self, pursuit: _Pursuit, key: str) -> None:
        if key == pursuit.key:
            self._send(pursuit)

    def _send(self, pursuit: _Pursuit) -> None:
        if len(pursuit.copies) >= MAX_COPIES:
            return
        earlier = pursuit.of_key()
        if pursuit.payment.declares:
            for copy in earlier:
                copy.abandoned = copy.outcome is None
        doubtful = [item for item in earlier if item.outcome is not m.Outcome.NOT_RUN]
        attempt = len(doubtful) + 1 if pursuit.payment.declares else 0
        request_id = f"{pursuit.payment.name}/{next(self._ids)}"
        pursuit.copies[request_id] = _Copy(pursuit.key, attempt)
        request = m.RequestArrived(
            request_id, SERVICE, pursuit.key, "body", attempt, CALLER_TIMEOUT_MS
        )
        index = self._pick(pursuit.payment.data_centre)
        self.model.after(
            self.model.delay_ms(), lambda: self._deliver(pursuit, request, index)
        )
        self.model.after(
            CALLER_TIMEOUT_MS, lambda: self._timed_out(pursuit, request_id)
        )

    def _deliver(
        self, pursuit: _Pursuit, request: m.RequestArrived, index: int
    ) -> None:
        process = self.model.processes[index]
        if process.alive or not self.model.is_calm:
            self.model.request(process, request)
            return
        # The connection is refused, so the caller knows that nothing was sent.
        del pursuit.copies[request.request_id]
        self._send(pursuit)

    def _pick(self, data_centre: int) -> int:
        if self.random.random() < 0.2:
            return self.random.randrange(INSTANCES)
        near = range(data_centre, INSTANCES, DATA_CENTRES)
        return self.random.choice(near)

    def _timed_out(self, pursuit: _Pursuit, request_id: str) -> None:
        copy = pursuit.copies.get(request_id)
        if copy is None or copy.key != pursuit.key:
            return
        if copy.outcome is None and not pursuit.done:
            self._send(pursuit)

    def _go_on(self, pursuit: _Pursuit, answer: m.AnswerCaller) -> None:
        if answer.outcome is m.Outcome.NOT_RUN and self._may_renew(pursuit, answer):
            self._new_key(pursuit, answer.open_slots)
        delay_ms = self.random.randint(50, 1500)
        self.model.after(delay_ms, lambda: self._send_unless_done(pursuit))

    def _may_renew(self, pursuit: _Pursuit, answer: m.AnswerCaller) -> bool:
        if answer.final:
            return True
        outcomes = {copy.outcome for copy in pursuit.of_key()}
        return outcomes == {m.Outcome.NOT_RUN} and self.random.random() < 0.7

    def _send_unless_done(self, pursuit: _Pursuit) -> None:
        if not pursuit.done:
            self._send(pursuit)
