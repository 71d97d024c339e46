"""At most once: a request that must not repeat runs once or not at all.

The ownership log gives each node process the key times that it owns in each
slot of a service. A key carries its own creation time, so exactly one process
can ever accept it, whatever the clocks say.

Wiring a node
-------------
Make one ``OnceDecision`` per process, with a ``NodeId`` whose incarnation is
drawn at random at the start (never the counter of the membership). One task owns
it and calls ``handle(message, Moment(wall_ms, monotonic_ms))`` for each input;
it carries out the returned outputs in their order.

=========================  ====================================================
Input                      When
=========================  ====================================================
``RequestArrived``         A caller's request on a non-idempotent route. Keep its
                           body by ``request_id``.
``PeerSent``               A ``ForwardedRequest`` (keep its body by sender and
                           ``request_id``), ``OwnerAnswer``, ``TableTransfer`` or
                           ``TableReceipt`` came from a node.
``ForwardFailed``          A ``ForwardedRequest`` could not be sent. Say
                           ``bytes_sent=False`` only if it was never queued.
``BackendServerAnswered``  A run got a whole answer, whatever its status.
``DispatchFailed``         A run got none. ``bytes_sent=False`` if no byte left or
                           the backend server said that it refused.
``LogRecordsRead``         A read of the stream ``ownership`` returned, also with
                           no records. Read on from ``decision.next_offset``.
``LogRegressed``           The log's end fell below ``next_offset``.
``AppendDone``             An append was acknowledged.
``AppendFailed``           An append failed or its answer was lost.
``MembersChanged``         The live node processes of a service changed, as this
                           node reaches them; send it for every service.
``LogHealth``              The membership found the log in or out of reach.
``Tick``                   Every 100 to 1000 ms.
``StopRequested``          The node stops; go on until ``Stopped``.
=========================  ====================================================

=========================  ====================================================
Output                     What to do
=========================  ====================================================
``RunHere``                Send the request to a backend server; retry only where
                           nothing ran; report one of the two run inputs.
``SendToPeer``             Send the message, with the body for a forward.
``AnswerCaller``           Answer; ``traffic`` maps the outcome to HTTP.
``AppendRecord``           Append ``encode_record(record)`` once. Repeating is
                           this package's business.
``Emit``                   ``events.emit(event, detail=detail)``.
``Stopped``                The process may exit.
=========================  ====================================================

Messages between nodes are plain attrs classes; ``encode_record`` and
``decode_record`` are for the log only.
"""

from .decision import OnceDecision as OnceDecision
from .records import NodeId as NodeId
from .settings import OnceSettings as OnceSettings
