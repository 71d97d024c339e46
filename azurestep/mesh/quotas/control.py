"""Quotas of teams over all nodes: messages between nodes and quota owners, timers.

For each team, one node is the quota owner. Each node admits requests at once and
reports them to the owner, which answers each report with a grant. While tokens are
left, the grant limits nothing; afterwards it is the node's part of the team's rate.
"""

import math
from collections.abc import Callable, Collection

import attrs

from ..decisions.quota_account import (
    GRANT_VALID_MS,
    Grant,
    QuotaAccount,
    QuotaLimit,
)
from ..decisions.quota_allowance import (
    QuotaAllowance,
    report_interval_ms,
)
from ..decisions.quota_owner import QuotaOwners
from ..link_messages import QuotaGrant, QuotaHandover, QuotaUsage
from ..settings import Address, Bounds
from ..team_metrics import TeamMetrics
from .records import OwnedTeam, QuotaPeers, QuotaTeam, TeamUse

RENEWAL_MS = GRANT_VALID_MS * 0.4
"""Time between grants that are sent to all nodes, so that one of them may be late."""
UNREPORTED = 3.0
"""Requests that a node may admit before it learns that the team is limited."""
PAUSE_MS = 400.0
"""Time without a tick after which this node's accounts begin anew.

Peers take a silent node for lost after 650 ms, less the time since their last probe.
Another node may then have been the owner.
"""
MAX_FIND_MS = 1000.0
"""Time for which a node that knows the fleet waits until its peers have found it; they
reconnect within this time."""
HANDOVER_VALID_MS = 1000.0
"""Age of an account up to which it takes over the tokens of the former owner.

An older one began after another loss, and has tokens of its own.
"""
MAX_FORWARDED = 2
"""How often a handover is passed on, while the nodes' views of the owner differ."""
DEFERRED_MS = 100.0
"""Time for which a new account grants nothing at a node that is not its owner yet.

Reports may arrive ahead of the news that the owner shuts down. A former owner leaves
reports to the next one for as long, as they may arrive behind the news.
"""
REPORTER_MEMORY_MS = 5000.0
"""Time for which a node counts that reports here though it should report elsewhere."""
UNUSED_AFTER_MS = 60_000.0
"""Time without requests after which what is kept of a team is dropped."""
REFRESH_TICKS = 5
"""Ticks between counts of the nodes that share the quotas."""
SWEEP_TICKS = 100
"""Ticks between searches for these."""


@attrs.define(eq=False, repr=False)
class Quotas:
    """Admits requests of teams at one node, and keeps the accounts that it owns.

    Attributes
    ----------
    now_ms : Callable
        Returns the time.
    find_team : Callable
        Returns the team of a name; None if the configuration in force has none.
    on_limited : Callable
        Called when a team whose account is here has used up its quota, or is below it
        again.
    on_ownership : Callable
        Called when the account of a team here begins or ends to be that of its owner.
    metrics : TeamMetrics
        Counts the requests that were admitted, when it is read.
    stopping : bool
        Whether this node shuts down: it admits requests, and keeps no accounts.
    is_found : bool
        Whether its peers have found it after its start. Until then it owns no teams,
        as another node still does.
    """

    own_address: Address
    peers: QuotaPeers
    bounds: Bounds
    now_ms: Callable[[], float]
    find_team: Callable[[str], QuotaTeam | None]
    on_limited: Callable[[QuotaTeam, QuotaAccount], None] = lambda team, account: None
    on_ownership: Callable[[QuotaTeam, QuotaAccount, bool], None] = (
        lambda team, account, begins: None
    )
    metrics: TeamMetrics = attrs.field(factory=TeamMetrics)
    uses: dict[str, TeamUse] = attrs.field(factory=dict)
    owned: dict[str, OwnedTeam] = attrs.field(factory=dict)
    stopping: bool = False
    is_found: bool = False
    _owners: QuotaOwners = attrs.field(init=False)
    _nodes: int = 0
    _reachable: frozenset[Address] = frozenset()
    _starting: frozenset[Address] = frozenset()
    _handed_over: set[Address] = attrs.field(factory=set)
    """Peers whose handover came before the news that they shut down."""
    _known: bool = False
    _known_since_ms: float = 0.0
    _left: dict[str, float] = attrs.field(factory=dict)
    """When another node took a team over."""
    _ticks: int = 0
    _last_tick_ms: float | None = None

    def __attrs_post_init__(self) -> None:
        self._owners = QuotaOwners(self.own_address)

    # Requests.

    def admit(self, team: QuotaTeam, late: bool = False) -> float:
        """Admit a request and return 0, or refuse it and return when to retry in ms.

        ``late``: it can't meet its objective any more.
        """
        if team.requests_per_s <= 0:
            return 0.0
        now_ms = self.now_ms()
        if not self._nodes:
            self._refresh_peers()
        use = self.uses.get(team.name)
        if use is None:
            use = self._begin_use(team)
        elif use.team is not team:
            self._update_team(use, team)
        use.used_ms = now_ms
        if self._is_own(use) and self._known:
            self._anticipate(team, now_ms)
        wait_ms = use.allowance.admit(now_ms, late)
        if wait_ms:
            use.refused += 1
            return wait_ms
        use.admitted += 1
        self._report_urgent(use, now_ms)
        return 0.0

    def admit_again(self, name: str) -> bool:
        """Admit a second run of a team's request, if its quota has a token."""
        use, team = self.uses.get(name), self.find_team(name)
        if use is None or team is None or team.requests_per_s <= 0:
            return True
        if use.team is not team:
            self._update_team(use, team)
        now_ms = self.now_ms()
        if self._is_own(use) and self._known:
            self._anticipate(team, now_ms)
        if not use.allowance.admit_again(now_ms):
            return False
        use.admitted += 1
        self._report_urgent(use, now_ms)
        return True

    def _is_own(self, use: TeamUse) -> bool:
        return use.owner == self.own_address

    def _report_urgent(self, use: TeamUse, now_ms: float) -> None:
        """Report at once what the owner must know before the next report."""
        if self._is_own(use) or use.allowance.is_urgent:
            self._report([use], now_ms)

    def give_back(self, name: str) -> None:
        """Return the token of a request that was admitted and has not run."""
        use = self.uses.get(name)
        if use is not None:
            use.allowance.give_back()
            use.returned += 1

    def describe(self, name: str) -> dict[str, float]:
        """Return limit and grant of a team, and the grant's age, for log lines."""
        use = self.uses.get(name)
        if use is None:
            return {}
        fields = {"limit_per_s": use.team.requests_per_s}
        allowance = use.allowance
        if allowance.granted_ms:
            fields["grant_per_s"] = allowance.grant.rate_per_s
            fields["grant_age_ms"] = round(self.now_ms() - allowance.granted_ms)
        return fields

    def _anticipate(self, team: QuotaTeam, now_ms: float) -> None:
        """Limit this node before a request that its own account can't bear."""
        owned = self.owned.get(team.name)
        if owned is not None and owned.team is team and owned.account.tokens > 1:
            return
        owned = self._open_account(team, self.own_address, now_ms)
        if not owned.account.limited:
            owned.account.anticipate(now_ms)
            if owned.account.limited:
                self._tell_all(owned, now_ms)
                self._send_grant(owned, self.own_address, now_ms)

    def _begin_use(self, team: QuotaTeam) -> TeamUse:
        allowance = QuotaAllowance(self._limit_of(team), self._nodes)
        use = TeamUse(team, allowance, self._owners.of(team.name))
        self.uses[team.name] = use
        return use

    def _update_team(self, use: TeamUse, team: QuotaTeam) -> None:
        """Apply the team's limits in a new version of the configuration."""
        use.team = team
        use.allowance.set_limit(self._limit_of(team), self._nodes)
        owned = self.owned.get(team.name)
        if owned is not None:
            self._update_account(owned, team, self.now_ms())

    def _limit_of(self, team: QuotaTeam) -> QuotaLimit:
        bounds = self.bounds
        return QuotaLimit.of(
            team.requests_per_s,
            team.burst,
            bounds.quota_window_ms / 1000,
            bounds.quota_overage,
            bounds.quota_slack,
        )

    def set_bounds(self, bounds: Bounds) -> None:
        """Change the quota bound, of which limits tolerate a part."""
        self.bounds = bounds
        for use in self.uses.values():
            use.allowance.set_limit(self._limit_of(use.team), self._nodes)
        for owned in self.owned.values():
            self._update_account(owned, owned.team, self.now_ms())

    def owner_of(self, name: str) -> Address:
        """Return the owner of a team, by the peers that were reachable last."""
        return self._owners.of(name)

    def count_uses(self) -> None:
        """Bring the counters of the node's metrics up to date."""
        for use in self.uses.values():
            use.count(self.metrics)

    def limited_count(self) -> int:
        """Return how many of the teams that this node accounts for are limited."""
        return sum(1 for owned in self.owned.values() if owned.account.limited)

    # Reports and answers.

    def _report(self, uses: Collection[TeamUse], now_ms: float) -> None:
        """Report to the owners of some teams, with one message to each owner."""
        rows: dict[Address, list[tuple[str, int, int]]] = {}
        for use in uses:
            report = use.allowance.take_report(now_ms)
            if report is not None:
                use.next_report_ms = now_ms + report_interval_ms(self._nodes)
                rows.setdefault(use.owner, []).append((use.team.name, *report))
        for owner, reports in rows.items():
            usage = QuotaUsage(tuple(reports))
            if owner == self.own_address:
                self.on_grant(owner, self._record(owner, usage))
            else:
                self.peers.send_usage(owner, usage)

    def on_usage(self, peer: Address, usage: QuotaUsage) -> None:
        """Record the requests that a peer reports, and answer.

        The answer may have no rows; it also tells the peer that this node is alive.
        """
        self.peers.send_grants([peer], self._record(peer, usage))

    def _record(self, peer: Address, usage: QuotaUsage) -> QuotaGrant:
        now_ms = self.now_ms()
        if not self._nodes:
            self._refresh_peers()
        rows = []
        for name, admitted, refused in usage.rows:
            team = self.find_team(name)
            if team is None or team.requests_per_s <= 0 or not self._nodes:
                continue
            if self._was_left(name, now_ms):
                continue  # the peer will report it to the next owner
            owned = self._open_account(team, peer, now_ms)
            account, was_limited = owned.account, owned.account.limited
            account.record(peer, admitted, refused, now_ms)
            if account.limited != was_limited:
                self._tell_all(owned, now_ms)
            if not owned.is_owner and now_ms - owned.since_ms < DEFERRED_MS:
                owned.deferred.append(peer)
                continue
            owned.answers[peer] = grant = account.grant(peer, now_ms)
            rows.append(_row(name, grant))
        return QuotaGrant(tuple(rows))

    def _was_left(self, name: str, now_ms: float) -> bool:
        """Return whether another node has taken a team over from this one."""
        if self._owners.of(name) == self.own_address:
            return False
        return self.stopping or now_ms - self._left.get(name, -math.inf) < DEFERRED_MS

    def _open_account(self, team: QuotaTeam, peer: Address, now_ms: float) -> OwnedTeam:
        owned = self.owned.get(team.name)
        if owned is None:
            is_owner = self._owners.of(team.name) == self.own_address
            limit = self._limit_of(team).scaled(0.0)
            account = QuotaAccount.open(limit, 1, now_ms)
            owned = self.owned[team.name] = OwnedTeam(team, account, is_owner)
            owned.reporters[peer] = owned.used_ms = owned.since_ms = now_ms
            self._update_account(owned, team, now_ms)
            account.tokens = account.limit.start_tokens
            if is_owner:
                self.on_ownership(team, account, True)
        owned.used_ms = now_ms
        is_new = peer not in owned.reporters
        owned.reporters[peer] = now_ms
        if owned.team is not team or (is_new and not owned.is_owner):
            self._update_account(owned, team, now_ms)
        return owned

    def _update_account(self, owned: OwnedTeam, team: QuotaTeam, now_ms: float) -> None:
        """Let the account have the part of the limit of the nodes that report to it."""
        nodes = len(self._reachable) + 1 if owned.is_owner else len(owned.reporters)
        ratio = min(1.0, nodes / self._nodes) if self._nodes else 0.0
        owned.team = team
        owned.account.set_limit(self._limit_of(team).scaled(ratio), nodes, now_ms)

    def on_grant(self, owner: Address, grant: QuotaGrant) -> None:
        """Apply the answers of a quota owner."""
        now_ms = self.now_ms()
        for name, rate_per_s, valid_ms in grant.rows:
            use = self.uses.get(name)
            if use is None:
                team = self.find_team(name)
                if not valid_ms or team is None or team.requests_per_s <= 0:
                    continue
                use = self._begin_use(team)
                use.used_ms = now_ms
            if use.owner == owner:
                use.allowance.apply_grant(Grant(rate_per_s, valid_ms), now_ms)

    def _tell_all(self, owned: OwnedTeam, now_ms: float) -> None:
        """Grant all nodes their parts, if even unreported requests may be too many.

        Where the tolerated excess is larger, only the nodes that report are answered.
        """
        owned.next_renewal_ms = now_ms + RENEWAL_MS
        account, name = owned.account, owned.team.name
        if account.limited != owned.was_limited:
            owned.was_limited = account.limited
            self.on_limited(owned.team, account)
        peers = self.peers.reachable() if owned.is_owner else list(owned.reporters)
        if UNREPORTED * len(peers) <= account.limit.excess / 2:
            return
        by_row: dict[tuple[str, float, float], list[Address]] = {}
        for peer in peers:
            row = _row(name, account.grant(peer, now_ms))
            by_row.setdefault(row, []).append(peer)
        for row, receivers in by_row.items():
            self.peers.send_grants(receivers, QuotaGrant((row,)))
        if self.own_address not in peers:
            self._send_grant(owned, self.own_address, now_ms)

    # Timers and changes of the fleet.

    def on_reachability_change(self) -> None:
        """Find the owners over the peers that are reachable now, if they are needed."""
        self._nodes = 0
        if self.uses or self.owned:
            self._refresh_peers()

    def _refresh_peers(self) -> None:
        now_ms = self.now_ms()
        reachable = frozenset(self.peers.reachable())
        lost, self._reachable = self._reachable - reachable, reachable
        was_known, self._nodes = self._known, self.peers.known_count()
        self._known = self._nodes > 0
        if self._known and not was_known:
            self._known_since_ms = now_ms
        stopping, starting = self._find_stopping(), self._find_starting(now_ms)
        started, self._starting = self._starting - starting, starting
        self._owners.set_reachable(reachable, stopping, starting)
        for use in self.uses.values():
            owner = self._owners.of(use.team.name)
            if owner != use.owner or self._known is not was_known:
                handed_over = use.owner in stopping or owner in started
                self._change_owner(use, owner, handed_over)
            if use.allowance.nodes != self._nodes:
                use.allowance.set_limit(use.allowance.limit, self._nodes)
        self._update_owned(started, lost)

    def _change_owner(self, use: TeamUse, owner: Address, handed_over: bool) -> None:
        was_own = use.owner == self.own_address and not self.stopping
        # The own account decides about each request before it is admitted. A node that
        # has just started may have asked one that is not the owner.
        if was_own or owner == self.own_address or not self.is_found:
            use.allowance.drop_grant()
        use.owner = owner
        use.allowance.report_again(self.now_ms(), handed_over)

    def _update_owned(
        self, started: Collection[Address], lost: Collection[Address]
    ) -> None:
        """Begin, hand over or scale the accounts here, as the owners are others now.

        Parameters
        ----------
        started : Collection
            Nodes that own teams from now on, and take their accounts over.
        lost : Collection
            Nodes that can't be reached any more.
        """
        now_ms = self.now_ms()
        released: dict[Address, list[str]] = {}
        for name, owned in self.owned.items():
            self._charge_lost(owned, lost, now_ms)
            owner = self._owners.of(name)
            is_owner = owner == self.own_address
            if owned.is_owner and owner in started:
                released.setdefault(owner, []).append(name)
                continue
            if is_owner != owned.is_owner:
                owned.is_owner = is_owner
                owned.since_ms = now_ms
                owned.account.restart(now_ms)
                self.on_ownership(owned.team, owned.account, is_owner)
            self._update_account(owned, owned.team, now_ms)
            if is_owner:
                self._answer_deferred(owned, now_ms)
            else:
                self._charge_debt(owned)
        for owner, names in released.items():
            self._hand_over(owner, names, now_ms)

    def _find_starting(self, now_ms: float) -> frozenset[Address]:
        """Return the nodes that have just started, maybe this one too."""
        if not self.is_found and self._known:
            waited_ms = now_ms - self._known_since_ms
            self.is_found = self.peers.have_found() or waited_ms > MAX_FIND_MS
            if self.is_found:
                self.peers.announce()
        own = () if self.is_found else (self.own_address,)
        return frozenset([*self.peers.starting(), *own])

    def _find_stopping(self) -> set[Address]:
        """Return the nodes that shut down, this one included."""
        self._handed_over &= self._reachable
        stopping = {*self.peers.stopping(), *self._handed_over}
        if self.stopping:
            stopping.add(self.own_address)
        return stopping

    def begin_shutdown(self) -> None:
        """Hand all accounts over to their next owners, to which this node reports.

        Its peers know already that it shuts down.
        """
        if self.stopping:
            return
        now_ms = self.now_ms()
        self.stopping = True
        stopping = self._find_stopping()
        self._owners.set_reachable(self._reachable, stopping, self._starting)
        released: dict[Address, list[str]] = {}
        for name, owned in self.owned.items():
            owner = self._owners.of(name)
            if owned.is_owner and owner != self.own_address:
                released.setdefault(owner, []).append(name)
        for owner, names in released.items():
            self._hand_over(owner, names, now_ms)
        if self.uses or self.owned:
            self._refresh_peers()

    def _hand_over(self, owner: Address, names: list[str], now_ms: float) -> None:
        """Hand accounts over to the next owner, or just their debts if it can't."""
        self._restart_after_pause(self._last_tick_ms, now_ms)
        rows = []
        for name in names:
            account = self.owned[name].account
            account.tick(now_ms)
            rows.append((name, account.tokens))
        handover = QuotaHandover(self.own_address, tuple(rows), self.stopping)
        is_taken = self.peers.send_handover(owner, handover)
        for name in names:
            owned = self.owned[name]
            owned.is_owner, owned.since_ms = False, now_ms
            self.on_ownership(owned.team, owned.account, False)
            if is_taken:
                del self.owned[name]
                self._left[name] = now_ms
            else:
                owned.account.restart(now_ms)
                self._update_account(owned, owned.team, now_ms)
                self._charge_debt(owned)

    def on_handover(self, handover: QuotaHandover) -> None:
        """Take the accounts of a node over that shuts down, or pass them on."""
        now_ms = self.now_ms()
        if handover.stops and handover.former != self.own_address:
            self._handed_over.add(handover.former)
        self._refresh_peers()
        rows: dict[Address, list[tuple[str, float]]] = {}
        for name, tokens in handover.rows:
            team, owner = self.find_team(name), self._owners.of(name)
            if team is None or team.requests_per_s <= 0 or not self._nodes:
                continue
            if owner != self.own_address:
                rows.setdefault(owner, []).append((name, tokens))
                continue
            owned = self._open_account(team, handover.former, now_ms)
            is_new = now_ms - owned.since_ms <= HANDOVER_VALID_MS
            owned.account.adopt(tokens, is_new, now_ms)
            owned.since_ms = -math.inf
            self._release(owned, now_ms)
        if handover.forwarded < MAX_FORWARDED:
            for owner, accounts in rows.items():
                self.peers.send_handover(
                    owner,
                    attrs.evolve(
                        handover,
                        rows=tuple(accounts),
                        forwarded=handover.forwarded + 1,
                    ),
                )

    def _restart_after_pause(self, last_ms: float | None, now_ms: float) -> None:
        """Begin all accounts anew if this node was paused for long."""
        if last_ms is not None and now_ms - last_ms > PAUSE_MS:
            for owned in self.owned.values():
                owned.account.restart(now_ms)
            for use in self.uses.values():
                use.allowance.on_pause(now_ms)
                use.next_report_ms = now_ms

    def _answer_deferred(self, owned: OwnedTeam, now_ms: float) -> None:
        """Answer the reports that came before it was clear who the owner is."""
        deferred, owned.deferred = owned.deferred, []
        for peer in deferred:
            self._send_grant(owned, peer, now_ms)

    def _release(self, owned: OwnedTeam, now_ms: float) -> None:
        """Lift the limits of nodes that got them before an account was handed over."""
        if owned.account.limited:
            return
        for peer, answer in list(owned.answers.items()):
            if answer.valid_ms:
                self._send_grant(owned, peer, now_ms)

    def _send_grant(self, owned: OwnedTeam, peer: Address, now_ms: float) -> None:
        owned.answers[peer] = grant = owned.account.grant(peer, now_ms)
        message = QuotaGrant((_row(owned.team.name, grant),))
        if peer == self.own_address:
            self.on_grant(peer, message)
        else:
            self.peers.send_grants([peer], message)

    def _charge_lost(
        self, owned: OwnedTeam, lost: Collection[Address], now_ms: float
    ) -> None:
        """Charge what nodes that can't be reached any more may have admitted."""
        for peer in lost:
            answer = owned.answers.pop(peer, None)
            if answer is not None:
                silent_ms = now_ms - owned.reporters.get(peer, now_ms)
                owned.account.charge_lost(answer, silent_ms, now_ms)

    def _charge_debt(self, owned: OwnedTeam) -> None:
        """Charge a debt to the account of the node that is now the owner."""
        name, debt = owned.team.name, math.ceil(-owned.account.tokens)
        if debt > 0 and self._known:
            owned.account.tokens = 0.0
            usage = QuotaUsage(((name, debt, 0),))
            self.peers.send_usage(self._owners.of(name), usage)

    def tick(self, now_ms: float) -> None:
        """Send the reports that are due, and renew grants."""
        last_ms, self._last_tick_ms = self._last_tick_ms, now_ms
        if not self.is_found:
            self._refresh_peers()
        if not self.uses and not self.owned:
            return
        self._restart_after_pause(last_ms, now_ms)
        if self._ticks % REFRESH_TICKS == 0 or not self._nodes:
            self._refresh_peers()
        due = [use for use in self.uses.values() if now_ms >= use.next_report_ms]
        self._report(due, now_ms)
        for owned in self.owned.values():
            self._renew(owned, now_ms)
        self._ticks += 1
        if self._ticks % SWEEP_TICKS == 0:
            self._sweep(now_ms)

    def _renew(self, owned: OwnedTeam, now_ms: float) -> None:
        account, was_limited = owned.account, owned.account.limited
        account.tick(now_ms)
        if owned.deferred and now_ms - owned.since_ms >= DEFERRED_MS:
            self._answer_deferred(owned, now_ms)
        renewal = account.limited and now_ms >= owned.next_renewal_ms
        if renewal or account.limited != was_limited:
            self._tell_all(owned, now_ms)

    def _sweep(self, now_ms: float) -> None:
        """Drop teams without requests, and those without a limit."""
        oldest_ms = now_ms - UNUSED_AFTER_MS
        self._left = {
            name: left_ms
            for name, left_ms in self._left.items()
            if now_ms - left_ms < DEFERRED_MS
        }
        for name, use in list(self.uses.items()):
            team = self.find_team(name)
            unused = use.used_ms < oldest_ms and use.allowance.is_idle
            if unused or team is None or team.requests_per_s <= 0:
                use.count(self.metrics)
                del self.uses[name]
        for name, owned in list(self.owned.items()):
            team = self.find_team(name)
            if team is None or team.requests_per_s <= 0:
                del self.owned[name]
                continue
            owned.account.demand.expire(now_ms)
            recent_ms = now_ms - REPORTER_MEMORY_MS
            owned.reporters = {
                peer: last_ms
                for peer, last_ms in owned.reporters.items()
                if last_ms > recent_ms
            }
            owned.answers = {
                peer: answer
                for peer, answer in owned.answers.items()
                if peer in owned.reporters
            }
            self._update_account(owned, team, now_ms)
            if not owned.is_owner and owned.used_ms < oldest_ms:
                del self.owned[name]


def _row(name: str, grant: Grant) -> tuple[str, float, float]:
    return name, round(grant.rate_per_s, 3), grant.valid_ms
