"""At most once: a non-idempotent request runs once or not at all.

The ownership log assigns each slot and range of key times to one node process.
The creation time is part of the key, so only one process can accept a key, even
if clocks disagree.

Use in a node
-------------
Create one ``OnceDecision`` per process, with a ``NodeId`` whose incarnation is
a random text generated at startup; the membership's incarnation is a counter
that may repeat and must not be used. A single task
calls ``handle(message, Moment(wall_ms, monotonic_ms))`` for each input and
carries out the returned outputs in order.

=========================  ====================================================
Input                      When
=========================  ====================================================
``RequestArrived``         A caller's request on a non-idempotent route. Keep its
                           body by ``request_id``.
``PeerSent``               A ``ForwardedRequest`` (keep its body by sender and
                           ``request_id``), ``OwnerAnswer``, ``TableTransfer`` or
                           ``TableReceipt`` came from a node.
``ForwardFailed``          A ``ForwardedRequest`` could not be sent. Set
                           ``bytes_sent=False`` only if it was never queued.
``BackendServerAnswered``  A run got a complete answer, whatever its status.
``DispatchFailed``         A run got no answer. ``bytes_sent=False`` if no byte
                           was sent or the backend server refused the request.
``LogRecordsRead``         A read of the stream ``ownership`` returned, even
                           without records. Continue at ``decision.next_offset``.
``LogRegressed``           The log's end fell below ``next_offset``.
``AppendDone``             An append was acknowledged.
``AppendFailed``           An append failed or its answer was lost.
``MembersChanged``         The live node processes of a service that this node can
                           reach changed. Send it for each service.
``LogHealth``              The log became reachable or unreachable.
``Tick``                   Every 100 to 1000 ms.
``StopRequested``          The node shuts down; continue until ``Stopped``.
=========================  ====================================================

=========================  ====================================================
Output                     What to do
=========================  ====================================================
``RunHere``                Send the request to a backend server; retry only if it
                           did not run; report ``BackendServerAnswered`` or
                           ``DispatchFailed``.
``SendToPeer``             Send the message, with the body for a forward.
``AnswerCaller``           Answer; ``traffic`` maps the outcome to HTTP.
``AppendRecord``           Append ``encode_record(record)`` once; this package
                           requests retries itself.
``Emit``                   ``events.emit(event, detail=detail)``.
``Stopped``                The process may exit.
=========================  ====================================================

``encode_record`` and ``decode_record`` are for the log only; messages between
nodes have their own encoding.
"""

from .decision import OnceDecision as OnceDecision
from .records import NodeId as NodeId
from .settings import OnceSettings as OnceSettings
