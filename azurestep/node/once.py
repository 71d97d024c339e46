"""The at-most-once task: drives the decision for requests that must not repeat."""

import asyncio
import uuid
from collections.abc import Coroutine
from functools import singledispatchmethod

import aiohttp
import aiomisc
import attrs
from aiohttp import web
from multidict import CIMultiDict
from returns.result import Failure

from .. import events
from ..audit.records import RequestRun
from ..control.messages import OwnerMessage, PackedCall
from ..environment import Environment
from ..errors import PlatformRefusedError
from ..once import NodeId, OnceDecision
from ..once.messages import (
    AnswerCaller,
    AppendDone,
    AppendFailed,
    AppendRecord,
    BackendServerAnswered,
    DispatchFailed,
    Emit,
    ForwardedRequest,
    Input,
    Moment,
    Outcome,
    Output,
    OwnerAnswer,
    PeerSent,
    Reason,
    RequestArrived,
    RunHere,
    SendToPeer,
    Stopped,
    StopRequested,
    Tick,
)
from ..once.records import encode_record
from ..once.settings import KEY_SCOPE
from ..platform.client import LogClient
from ..platform.records import FIRST_OFFSET
from ..settings import Settings
from ..traffic import headers
from ..traffic.call import Call
from ..traffic.once_answers import make_http_answer
from ..traffic.packed_call import pack_call, request_digest, unpack_call
from ..traffic.proxy import Proxy
from ..traffic.single_run import RunAnswered
from .messages import (
    AuditInput,
    ControlInput,
    ItemArose,
    OnceInput,
    OwnerMessageOut,
    OwnerMessageReceived,
    OwnershipAllowed,
)

TICK_S = 0.2
STREAM = "ownership"
RUN_SIZE_BYTES = 6


@attrs.define
class HeldCall:
    """A call whose outcome is not decided yet, and who waits for it."""

    call: Call
    answer: "asyncio.Future[AnswerCaller]"


class OnceService(aiomisc.Service):
    """Owns the at-most-once decision of a node.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    environment : Environment
        Clock and randomness.
    proxy : Proxy
        Runs the requests and knows the routing table.
    control : asyncio.Queue
        Where messages to other nodes go.
    node_run : str
        Random name of this run of the node.
    """

    def __init__(
        self,
        settings: Settings,
        environment: Environment,
        proxy: Proxy,
        control: "asyncio.Queue[ControlInput]",
        node_run: str,
    ) -> None:
        super().__init__()
        self.settings = settings
        self.environment = environment
        self.proxy = proxy
        self.control = control
        self.inputs: asyncio.Queue[OnceInput] = asyncio.Queue()
        self.audit: asyncio.Queue[AuditInput] | None = None
        self.stopped = asyncio.Event()
        self._node = NodeId(settings.instance, node_run)
        self._decision = OnceDecision(self._node, "", settings.once, environment.random)
        self._decision.fold.next_offset = FIRST_OFFSET
        self._held: dict[str, HeldCall] = {}
        self._packed_calls: dict[tuple[NodeId, str], PackedCall] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0
        self._session: aiohttp.ClientSession | None = None
        self._log: LogClient | None = None

    async def start(self) -> None:
        """Drive the decision until stopped."""
        self._session = aiohttp.ClientSession()
        self._log = LogClient(
            self._session, self.settings.platform_url, self.environment
        )
        self.proxy.non_idempotent_handler = self.serve
        self.start_event.set()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._take_inputs())
            group.create_task(self._tick())

    async def _take_inputs(self) -> None:
        while True:
            self._take(await self.inputs.get())

    async def _tick(self) -> None:
        while True:
            self._handle(Tick())
            await asyncio.sleep(TICK_S)

    # -- callers -------------------------------------------------------------

    async def serve(self, call: Call) -> web.Response:
        """Answer a caller's request that must not repeat.

        The request goes on when its caller goes away, so that the outcome is
        known when the caller sends it again.
        """
        self._count += 1
        request_id = f"{self._node.incarnation}-{self._count}"
        held = HeldCall(call, asyncio.get_running_loop().create_future())
        self._held[request_id] = held
        try:
            self._handle(self._arrival_of(request_id, call))
            return make_http_answer(await held.answer)
        finally:
            if held.answer.done():
                self._held.pop(request_id, None)

    def _arrival_of(self, request_id: str, call: Call) -> RequestArrived:
        attempt = call.fields.get(headers.ATTEMPT, "")
        remaining_ms = call.remaining_ms(self.environment.clock.monotonic_ms())
        return RequestArrived(
            request_id,
            KEY_SCOPE,
            call.fields.get(headers.IDEMPOTENCY_KEY, ""),
            request_digest(call),
            int(attempt) if attempt.isdigit() else 0,
            int(remaining_ms),
        )

    # -- inputs --------------------------------------------------------------

    @singledispatchmethod
    def _take(self, message: OnceInput) -> None:
        self._handle(message)  # type: ignore[arg-type]

    @_take.register
    def _(self, message: OwnershipAllowed) -> None:
        self._decision.set_service(KEY_SCOPE)

    @_take.register
    def _(self, message: OwnerMessageReceived) -> None:
        if message.message.receiver_run != self._node.incarnation:
            self._disown(message)
            return
        sender = NodeId(message.instance, message.message.sender_run)
        inner = message.message.message
        if isinstance(inner, ForwardedRequest):
            if message.message.call is None:
                return
            self._packed_calls[(sender, inner.request_id)] = message.message.call
        self._handle(PeerSent(sender, inner))

    def _disown(self, message: OwnerMessageReceived) -> None:
        """Answer for a run of this node that is gone: it never got the request."""
        inner = message.message.message
        if not isinstance(inner, ForwardedRequest):
            return
        answer = OwnerAnswer(inner.request_id, Outcome.MAY_HAVE_RUN, Reason.NOT_OWNER)
        reply = OwnerMessage(message.message.sender_run, self._node.incarnation, answer)
        self.control.put_nowait(OwnerMessageOut(message.instance, reply))

    def _handle(self, message: Input) -> None:
        clock = self.environment.clock
        moment = Moment(clock.now_ms(), clock.monotonic_ms())
        for output in self._decision.handle(message, moment):
            self._perform(output)

    # -- outputs -------------------------------------------------------------

    @singledispatchmethod
    def _perform(self, output: Output) -> None:
        raise TypeError(f"{type(output).__name__} is no output")

    @_perform.register
    def _(self, output: AnswerCaller) -> None:
        held = self._held.pop(output.request_id, None)
        if held is not None and not held.answer.done():
            held.answer.set_result(output)

    @_perform.register
    def _(self, output: SendToPeer) -> None:
        inner = output.message
        call = None
        request_id = ""
        if isinstance(inner, ForwardedRequest):
            request_id = inner.request_id
            call = pack_call(self._held[request_id].call, inner.key)
        if isinstance(inner, OwnerAnswer):
            self._packed_calls.pop((output.receiver, inner.request_id), None)
        message = OwnerMessage(
            output.receiver.incarnation, self._node.incarnation, inner, call
        )
        self.control.put_nowait(
            OwnerMessageOut(output.receiver.instance, message, request_id)
        )

    @_perform.register
    def _(self, output: RunHere) -> None:
        self._spawn(self._run(output))

    @_perform.register
    def _(self, output: AppendRecord) -> None:
        self._spawn(self._append(output))

    @_perform.register
    def _(self, output: Emit) -> None:
        events.emit(output.event, detail=output.detail)

    @_perform.register
    def _(self, output: Stopped) -> None:
        self.stopped.set()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, run: RunHere) -> None:
        call = self._call_of(run)
        if call is None:
            self._handle(DispatchFailed(run.run_id, bytes_sent=False))
            return
        try:
            result = await self.proxy.run_non_idempotent(call)
        except Exception:
            self._handle(DispatchFailed(run.run_id, bytes_sent=True))
            self._note_run(run, call, Outcome.MAY_HAVE_RUN)
            raise
        if isinstance(result, RunAnswered):
            self._handle(BackendServerAnswered(run.run_id, result.answer))
            self._note_run(run, call, Outcome.RAN)
            return
        self._handle(DispatchFailed(run.run_id, result.may_have_run))
        is_sent = result.may_have_run
        outcome = Outcome.MAY_HAVE_RUN if is_sent else Outcome.NOT_RUN
        self._note_run(run, call, outcome)

    def _note_run(self, run: RunHere, call: Call, outcome: Outcome) -> None:
        if self.audit is None or not self.settings.audit.record_runs:
            return
        item = RequestRun(
            run.key,
            call.match.service.name,
            self._node.instance,
            self._node.incarnation,
            outcome.value,
            self.environment.clock.now_ms(),
        )
        self.audit.put_nowait(ItemArose(item))

    def _call_of(self, run: RunHere) -> Call | None:
        if run.sender is not None:
            packed = self._packed_calls.pop((run.sender, run.request_id), None)
            return self._unpack(packed, run) if packed is not None else None
        held = self._held.get(run.request_id)
        if held is None:
            return None
        held.call.fields = CIMultiDict(held.call.fields)
        held.call.fields[headers.IDEMPOTENCY_KEY] = run.key
        return held.call

    def _unpack(self, packed: PackedCall, run: RunHere) -> Call | None:
        table = self.proxy.table
        if table is None:
            return None
        now_ms = self.environment.clock.monotonic_ms()
        return unpack_call(packed, table, run.remaining_ms, now_ms)

    async def _append(self, output: AppendRecord) -> None:
        assert self._log is not None
        result = await self._log.append_attempt(STREAM, encode_record(output.record))
        if isinstance(result, Failure):
            is_refused = isinstance(result.failure(), PlatformRefusedError)
            self._handle(AppendFailed(output.append_id, not is_refused))
        else:
            self._handle(AppendDone(output.append_id, result.unwrap().offset))

    # -- stopping ------------------------------------------------------------

    async def hand_over(self, timeout_s: float) -> bool:
        """Hand the owned slots to successors; return whether all was done."""
        self._handle(StopRequested())
        try:
            await asyncio.wait_for(self.stopped.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def stop(self, exception: Exception | None = None) -> None:
        """Close the connection to the log."""
        for task in self._tasks:
            task.cancel()
        if self._session is not None:
            await self._session.close()


def new_node_run() -> str:
    """Return a random name for a run of a node."""
    return uuid.uuid4().hex[: 2 * RUN_SIZE_BYTES]
