"""The promises, checked on what was seen. Pure: each yields what broke it."""

import math
import signal
from collections import Counter
from collections.abc import Callable, Iterator

from .demand import calls_at_low_demand
from .records import Call, Departure, KeySpan, Limit, Observations

TOO_MANY = 429
NOT_RUN = frozenset({TOO_MANY, 503})
GOOD = 200
NOT_FOUND = 404
DENIALS = frozenset({400, 408, 411, 413, 414, 431, 501})
"""Statuses of requests that are malformed, too large or too slow; none here is."""
UNAUTHORIZED = 401
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
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20
RECOVERED_SHARE = 0.9
FEW_CALLS = 20
CAUSE_SHOWN = 200
DEPARTED_S = 0.5
"""Time after a caller has left from which on nothing may be begun for it."""
FEW_DEPARTED = 3
"""Requests that may cross their callers' closes in spite of that."""
Check = Callable[[Observations], Iterator[str]]


def ran_once(seen: Observations) -> Iterator[str]:
    """Yield requests that must not repeat and ran more than once."""
    runs = Counter(arrival.name for arrival in seen.arrivals)
    attempts: list[Call | Departure] = [*seen.calls, *seen.departures]
    for one in attempts:
        if not one.idempotent and runs[one.name] > 1:
            yield f"{one.name} ran {runs[one.name]} times"


def refusals_are_true(seen: Observations) -> Iterator[str]:
    """Yield requests that were answered as not run and ran."""
    runs = Counter(arrival.name for arrival in seen.arrivals)
    for call in seen.calls:
        if call.status in NOT_RUN and not call.idempotent and runs[call.name]:
            yield f"{call.name} was refused with {call.status} and ran"


def nothing_is_begun_for_the_departed(seen: Observations) -> Iterator[str]:
    """Yield requests that reached a server long after their callers had left.

    Not where links were in trouble meanwhile, as a cancel may not come through.
    """
    departures = {one.name: one for one in seen.departures}
    late = []
    for arrival in seen.arrivals:
        departure = departures.get(arrival.name)
        if departure is None:
            continue
        late_s = arrival.at_s - departure.left_s
        cut = any(
            trouble.node is None
            and trouble.from_s < arrival.at_s
            and trouble.to_s > departure.left_s
            for trouble in seen.troubles
        )
        if late_s > DEPARTED_S and not cut:
            late.append(f"{arrival.name} reached {arrival.instance_id} {late_s:.2f} s")
    if len(late) > FEW_DEPARTED:
        yield from (f"{one} after its caller had left" for one in late)


def no_work_goes_on_for_the_departed(seen: Observations) -> Iterator[str]:
    """Yield reads that servers worked on long after their callers had left.

    Only where both nodes were out of trouble from well before on.
    """
    departures = {one.name: one for one in seen.departures if one.idempotent}
    late = []
    for end in seen.work_ends:
        departure = departures.get(end.name)
        if departure is None:
            continue
        late_s = end.at_s - departure.left_s
        nodes = (departure.node, int(end.instance_id.split("-")[1]))
        calm_from_s = departure.left_s - STABILITY_S
        calm = not any(seen.troubled(one, calm_from_s, end.at_s) for one in nodes)
        if late_s > DEPARTED_S and calm:
            late.append(f"{end.name} at {end.instance_id} {late_s:.2f} s")
    if len(late) > FEW_DEPARTED:
        yield from (f"{one} after its caller had left" for one in late)


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


def processes_end_when_asked(seen: Observations) -> Iterator[str]:
    """Yield processes that ended by themselves, or by a signal other than SIGKILL."""
    for end in seen.ends:
        asked = end.status == 0 and end.stop_asked
        early = end.status == -signal.SIGTERM and end.stopped_early
        if not (asked or early or end.status == -signal.SIGKILL):
            order = "after" if end.stop_asked else "without"
            yield f"{end.node} ended with {end.status}, {order} SIGTERM"


def unknown_keys_never_run(seen: Observations) -> Iterator[str]:
    """Yield requests that ran though no version had held their key until then."""
    spans = {span.key: span for span in seen.keys}
    arrived_s = {arrival.name: arrival.at_s for arrival in seen.arrivals}
    for call in seen.calls:
        if call.key is None or call.name not in arrived_s:
            continue
        span = spans.get(call.key)
        if span is None or arrived_s[call.name] < span.from_s:
            yield f"{call.name} ran at {call.node} with the unknown key {call.key!r}"


def removed_keys_stop(seen: Observations) -> Iterator[str]:
    """Yield requests that ran, at a node without trouble, with a removed key."""
    spans = {span.key: span for span in seen.keys}
    ran = {arrival.name for arrival in seen.arrivals}
    for call in seen.calls:
        span = spans.get(call.key or "")
        if span is None or call.name not in ran:
            continue
        late_s = call.sent_s - span.to_s - PROPAGATION_S
        from_s = call.sent_s - STABILITY_S
        if late_s > 0 and not seen.troubled(call.node, from_s, call.ended_s):
            yield f"{call.name} ran, sent {late_s:.2f} s too late with {call.key}"


def known_keys_are_let_in(seen: Observations) -> Iterator[str]:
    """Yield requests answered 401 whose key all versions in force held.

    All nodes hold the keys of the first version, also those in trouble.
    """
    spans = {span.key: span for span in seen.keys}
    for call in seen.calls:
        if call.status != UNAUTHORIZED:
            continue
        if call.key is None:
            yield f"{call.name} got 401 on {call.path}, which needs no key"
            continue
        span = spans.get(call.key)
        if span is None or not _held(span, call):
            continue
        from_s = call.sent_s - STABILITY_S
        first = span.from_s == -math.inf
        if first or not seen.troubled(call.node, from_s, call.ended_s):
            yield f"{call.name} got 401 at {call.node} with {call.key}, which is held"


def _held(span: KeySpan, call: Call) -> bool:
    """Whether all versions that may be in force for a request hold a key."""
    return span.from_s + PROPAGATION_S <= call.sent_s and call.ended_s <= span.to_s


def proper_requests_are_not_denied(seen: Observations) -> Iterator[str]:
    """Yield requests that a node denied as malformed, too large or too slow."""
    for call in seen.calls:
        if call.status in DENIALS:
            yield f"{call.name} got {call.status} at {call.node}"


def servers_see_teams(seen: Observations) -> Iterator[str]:
    """Yield requests that reached a server with a key, or with a wrong team."""
    if not seen.keys:
        return
    teams: dict[str | None, str] = {span.key: span.team for span in seen.keys}
    keys = {call.name: call.key for call in seen.calls}
    for arrival in seen.arrivals:
        if arrival.shows_key:
            yield f"{arrival.name} reached {arrival.instance_id} with a key"
        team = teams.get(keys.get(arrival.name), "")
        if arrival.name in keys and arrival.team != team:
            told = f"with team {arrival.team!r} instead of {team!r}"
            yield f"{arrival.name} reached {arrival.instance_id} {told}"


def servers_are_not_overfilled(seen: Observations) -> Iterator[str]:
    """Yield servers that got more requests than they can queue."""
    for name in seen.overfilled:
        yield f"{name} left requests unanswered since its queue was full"


def quotas_are_kept(seen: Observations) -> Iterator[str]:
    """Yield teams of which more requests ran in a window than they are allowed."""
    usual = seen.quota_per_s * (QUOTA_WINDOW_S + 1)
    allowed = usual * (1 + QUOTA_OVERAGE) + QUOTA_SLACK
    for team in sorted({span.team for span in seen.keys}) if usual else ():
        times_s = sorted(one.at_s for one in seen.arrivals if one.team == team)
        first = most = 0
        for last, at_s in enumerate(times_s):
            while times_s[first] < at_s - QUOTA_WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        if most > allowed:
            yield f"{most} requests of {team} ran in {QUOTA_WINDOW_S} s"


def low_teams_are_not_limited(seen: Observations) -> Iterator[str]:
    """Yield requests refused by a quota of which their team had asked for little."""
    for call in calls_at_low_demand(seen) if seen.quota_per_s else ():
        if call.status == TOO_MANY:
            yield f"{call.name} got 429 at {call.node}, sent {call.sent_s:.2f} s"


def fleet_recovers(seen: Observations) -> Iterator[str]:
    """Say if requests are not served in the calm after the last fault."""
    spans = {span.key: span for span in seen.keys}
    calm = [
        call
        for call in seen.calls
        if call.sent_s > seen.calm_from_s
        and (call.key is None or (call.key in spans and _held(spans[call.key], call)))
    ]
    good = sum(call.status == GOOD for call in calm)
    if len(calm) < FEW_CALLS:
        yield f"only {len(calm)} requests were sent after the last fault"
    elif good < len(calm) * RECOVERED_SHARE:
        yield f"{good} of {len(calm)} requests were served after the last fault"


CHECKS: tuple[Check, ...] = (
    ran_once,
    refusals_are_true,
    nothing_is_begun_for_the_departed,
    no_work_goes_on_for_the_departed,
    answers_are_own,
    answers_come_in_time,
    drained_servers_are_left_alone,
    limits_are_kept,
    versions_come_in_force,
    versions_never_go_back,
    planned_stops_cut_nothing,
    programs_have_no_faults,
    processes_end_when_asked,
    unknown_keys_never_run,
    removed_keys_stop,
    known_keys_are_let_in,
    proper_requests_are_not_denied,
    servers_see_teams,
    servers_are_not_overfilled,
    quotas_are_kept,
    low_teams_are_not_limited,
    fleet_recovers,
)


def broken(seen: Observations) -> dict[str, list[str]]:
    """Return what broke each promise that was broken, by its check's name."""
    found = {check.__name__: list(check(seen)) for check in CHECKS}
    return {name: cases for name, cases in found.items() if cases}
