"""The promises, checked on what was seen. Pure: each yields what broke it."""

from collections import Counter
from collections.abc import Callable, Iterator

from .records import Limit, Observations

NOT_RUN = frozenset({429, 503})
GOOD = 200
NOT_FOUND = 404
DRAIN_S = 2.0
PROPAGATION_S = 2.0
STABILITY_S = 3.0
LATE_S = 0.5
"""Time past its deadline for which a caller may wait."""
LIMIT_WINDOW_S = 4.0
LIMIT_RATIO = 1.5
LIMIT_EXTRA = 5
LIMIT_LEARNT_S = 0.5
"""Time in which nodes learn a limit from the first answers."""
RECOVERED_SHARE = 0.9
FEW_CALLS = 20
CAUSE_SHOWN = 200
Check = Callable[[Observations], Iterator[str]]


def ran_once(seen: Observations) -> Iterator[str]:
    """Yield requests that must not repeat and ran more than once."""
    runs = Counter(arrival.name for arrival in seen.arrivals)
    for call in seen.calls:
        if not call.idempotent and runs[call.name] > 1:
            yield f"{call.name} ran {runs[call.name]} times"


def refusals_are_true(seen: Observations) -> Iterator[str]:
    """Yield requests that were answered as not run and ran."""
    runs = Counter(arrival.name for arrival in seen.arrivals)
    for call in seen.calls:
        if call.status in NOT_RUN and not call.idempotent and runs[call.name]:
            yield f"{call.name} was refused with {call.status} and ran"


def answers_are_own(seen: Observations) -> Iterator[str]:
    """Yield successes that are not the whole answer to their own request."""
    for call in seen.calls:
        if call.status == GOOD and not call.own:
            yield f"{call.name} got an answer that is not its own"


def answers_come_in_time(seen: Observations) -> Iterator[str]:
    """Yield requests that a running node left unanswered past their deadline."""
    for call in seen.calls:
        late = call.ended_s - call.sent_s > call.deadline_s + LATE_S
        if late and not seen.troubled(call.node, call.sent_s - 1, call.ended_s):
            yield f"{call.name} waited {call.ended_s - call.sent_s:.1f} s"


def drained_servers_are_left_alone(seen: Observations) -> Iterator[str]:
    """Yield requests that reached a leaving server later than the bound."""
    for leaving in seen.leavings:
        for arrival in seen.arrivals:
            name = arrival.instance_id
            late_s = arrival.at_s - leaving.acknowledged_s - DRAIN_S
            if name == leaving.instance_id and late_s > 0:
                yield f"{arrival.name} reached {name} {late_s:.2f} s late"


def limits_are_kept(seen: Observations) -> Iterator[str]:
    """Yield windows in which a limited server got too many requests.

    Requests of a node that was in trouble itself since the limit began don't count.
    """
    senders = {call.name: call.node for call in seen.calls}
    for limit in seen.limits:
        allowed = LIMIT_RATIO * limit.limit_per_s * LIMIT_WINDOW_S + LIMIT_EXTRA
        arrivals_s = sorted(
            arrival.at_s
            for arrival in seen.arrivals
            if arrival.instance_id == limit.instance_id
            and limit.from_s + LIMIT_LEARNT_S <= arrival.at_s <= limit.to_s
            and not _had_trouble(seen, senders.get(arrival.name), limit, arrival.at_s)
        )
        for first, begin_s in enumerate(arrivals_s):
            end_s = begin_s + LIMIT_WINDOW_S
            count = sum(at_s <= end_s for at_s in arrivals_s[first:])
            if count > allowed:
                yield (
                    f"{limit.instance_id} got {count} requests in {LIMIT_WINDOW_S} s,"
                    f" {allowed:.0f} are allowed by {limit.limit_per_s} a second"
                )
                break


def _had_trouble(
    seen: Observations, node: int | None, limit: Limit, to_s: float
) -> bool:
    return any(
        trouble.node == node and trouble.from_s < to_s and trouble.to_s > limit.from_s
        for trouble in seen.troubles
        if trouble.node is not None
    )


def versions_come_in_force(seen: Observations) -> Iterator[str]:
    """Yield requests that a node without trouble handled by an overdue version."""
    for publication in seen.publications:
        bound_s = publication.at_s + PROPAGATION_S
        for call in seen.calls:
            if call.path != publication.path or call.sent_s < bound_s:
                continue
            from_s = call.sent_s - STABILITY_S
            troubled = seen.troubled(call.node, from_s, call.ended_s)
            if call.status == NOT_FOUND and not troubled:
                age_s = call.sent_s - publication.at_s
                yield f"{call.name} got 404 {age_s:.1f} s after the version"


def versions_never_go_back(seen: Observations) -> Iterator[str]:
    """Yield requests that a process handled by a version older than it had."""
    first_s: dict[tuple[int, str], float] = {}
    for call in sorted(seen.calls, key=lambda call: call.sent_s):
        key = (call.node, call.path)
        if call.status == GOOD:
            first_s.setdefault(key, call.ended_s)
            continue
        served_s = first_s.get(key, call.sent_s)
        went_back = call.status == NOT_FOUND and served_s < call.sent_s
        if went_back and not seen.troubled(call.node, served_s, call.ended_s):
            yield f"{call.name} got 404 after {call.path} was served"


def planned_stops_cut_nothing(seen: Observations) -> Iterator[str]:
    """Yield requests left unanswered, with no more than planned stops near."""
    ran = {arrival.name for arrival in seen.arrivals}
    for call in seen.calls:
        unplanned = seen.troubled(
            call.node, call.sent_s - STABILITY_S, call.ended_s, planned=False
        )
        if call.status == 0 and not unplanned:
            came = "ran" if call.name in ran else "did not run"
            after_s = call.ended_s - call.sent_s
            yield (
                f"{call.name} ({call.path}, sent {call.sent_s:.2f} s to {call.node})"
                f" {came}, and after {after_s:.2f} s there was no answer or refusal"
            )


def programs_have_no_faults(seen: Observations) -> Iterator[str]:
    """Yield faults of the program that the nodes' lines tell of, promise or not."""
    for fault in seen.faults:
        told = f"event {fault.event} {fault.count} times, {fault.message}"
        yield f"{fault.node}: {told}: {fault.cause[:CAUSE_SHOWN]}"
    for node in seen.crashes:
        yield f"{node} ended by an error, see its traceback"


def fleet_recovers(seen: Observations) -> Iterator[str]:
    """Say if requests are not served in the calm after the last fault."""
    calm = [call for call in seen.calls if call.sent_s > seen.calm_from_s]
    good = sum(call.status == GOOD for call in calm)
    if len(calm) < FEW_CALLS:
        yield f"only {len(calm)} requests were sent after the last fault"
    elif good < len(calm) * RECOVERED_SHARE:
        yield f"{good} of {len(calm)} requests were served after the last fault"


CHECKS: tuple[Check, ...] = (
    ran_once,
    refusals_are_true,
    answers_are_own,
    answers_come_in_time,
    drained_servers_are_left_alone,
    limits_are_kept,
    versions_come_in_force,
    versions_never_go_back,
    planned_stops_cut_nothing,
    programs_have_no_faults,
    fleet_recovers,
)


def broken(seen: Observations) -> dict[str, list[str]]:
    """Return what broke each promise that was broken, by its check's name."""
    found = {check.__name__: list(check(seen)) for check in CHECKS}
    return {name: cases for name, cases in found.items() if cases}
