"""Admit requests within each team's rate and burst across the whole fleet."""

import logging
import math

import attrs
import trio

from turmerictally import clock as clocks
from turmerictally import errors, settings
from turmerictally.config import model
from turmerictally.limits import account as accounts
from turmerictally.limits import layout, leases, local_slots, planner
from turmerictally.peers import calls, limits_pb2

logger = logging.getLogger(__name__)

MAX_ROUNDS = 8  # of grant requests, for one request of a caller
MAX_ROUNDS_AFTER_REFUSAL = 2  # for a request soon after a refusal
MAX_REFUSAL_BACKOFF_S = 1.0
CONTENDED_SETTLE_INTERVAL_S = 1.0
SHORT_TTL_IN_TIMEOUTS = 2.5  # grant timeouts; lifetime of a grant without prefetch
SETTLE_IF_IDLE_RATIO = 0.25  # of a grant's lifetime; then unspent tokens are refunded
ACCOUNT_RETENTION_S = 60.0
PRUNE_INTERVAL_S = 10.0
DEFAULT_RETRY_AFTER_S = 1.0


@attrs.define
class Counters:
    """Count decisions and messages since the start of the process."""

    admitted: int = 0
    admitted_locally: int = 0
    refused: int = 0
    unavailable: int = 0
    asks: int = 0
    returns: int = 0


class RateLimiter:
    """Enforce the limits of all teams on one host."""

    def __init__(
        self,
        lease_manager: leases.LeaseManager,
        slots: local_slots.LocalSlots,
        peers: calls.Peers,
        clock: clocks.Clock,
        options: settings.Limits,
    ) -> None:
        self.leases = lease_manager
        self.local = slots
        self.peers = peers
        self.clock = clock
        self.options = options
        self.accounts: dict[str, accounts.TeamAccount] = {}
        self.pending_settlements: dict[str, list[limits_pb2.Settlement]] = {}
        self.counters = Counters()
        self.last_request_id = 0
        self.prune_at = -math.inf
        self.settle_now = trio.Event()
        self.planner = planner.GrantPlanner(lease_manager, clock, options)
        peers.handle(calls.Kind.LIMIT_GRANT, slots.handle_grant_request)
        peers.handle(calls.Kind.LIMIT_RETURN, slots.handle_return)

    async def admit(
        self, contract: model.Contract, cost: float = 1.0, *, deadline: float
    ) -> None:
        """Spend ``cost`` tokens of the team, or raise an error.

        ``deadline`` is on the local clock. Raises ``errors.Error`` with
        ``RATE_LIMITED`` and the time after which to retry, or with
        ``LIMITS_UNAVAILABLE`` if no holder of the team's slots can be reached.
        """
        if cost > contract.burst:
            self.counters.refused += 1
            raise errors.Error(
                errors.Kind.RATE_LIMITED, "The request exceeds the team's burst."
            )
        now = self.clock.monotonic()
        account = self._account(contract, now)
        account.count_demand(cost, now)
        if account.waiting_cost == 0 and self._spend(account, cost):
            self.counters.admitted_locally += 1
        else:
            await self._admit_queued(account, cost, deadline)
        self.counters.admitted += 1

    async def run(self) -> None:
        """Settle grants periodically until cancelled."""
        while True:
            with trio.move_on_after(self.options.settle_s):
                await self.settle_now.wait()
            self.settle_now = trio.Event()
            await self.settle()

    async def settle(self) -> None:
        """Send the settlements of spent and idle grants to their home slots."""
        now = self.clock.monotonic()
        for account in self.accounts.values():
            if account.grants and now >= account.settle_at:
                self._queue_settlements(account, now)
        self._prune(now)
        if not self.pending_settlements:
            return
        pending_settlements, self.pending_settlements = self.pending_settlements, {}
        async with trio.open_nursery() as nursery:
            for address, settlements in pending_settlements.items():
                nursery.start_soon(self._send_settlements, address, settlements)

    async def stop(self) -> None:
        """Refund all unspent tokens and release the slots before a planned stop."""
        now = self.clock.monotonic()
        for account in self.accounts.values():
            account.settle_at = now
            for grant in account.grants:
                grant.settle_if_idle_at = now
        await self.settle()
        await self.leases.stop()

    async def _admit_queued(
        self, account: accounts.TeamAccount, cost: float, deadline: float
    ) -> None:
        self._refuse_if_backing_off(account, cost)
        account.waiting_cost += cost
        time_left = deadline - self.clock.monotonic()
        try:
            with trio.move_on_after(max(0.0, time_left)):
                async with account.lock:
                    await self._admit_with_grants(account, cost)
                    return
            raise self._unavailable()
        finally:
            account.waiting_cost = max(0.0, account.waiting_cost - cost)

    async def _admit_with_grants(
        self, account: accounts.TeamAccount, cost: float
    ) -> None:
        failed_requests = 0
        now = self.clock.monotonic()
        rounds = MAX_ROUNDS_AFTER_REFUSAL if account.was_refused(now) else MAX_ROUNDS
        for _ in range(rounds):
            if self._spend(account, cost):
                account.refusal_backoff_s /= 2
                return
            self._refuse_if_backing_off(account, cost)
            results = await self._request_round(account, cost, 1 + failed_requests)
            failed_requests += results.count(False)
            if not results:
                break
        if not self._spend(account, cost):
            raise self._refusal(account, cost)

    def _spend(self, account: accounts.TeamAccount, cost: float) -> bool:
        """Spend local tokens, cached grants first because they expire."""
        now = self.clock.monotonic()
        cached = min(cost, account.cached_tokens(now))
        if not self.local.take(account.contract, cost - cached):
            return False
        account.spend_cached(cached, now)
        return True

    def _refuse_if_backing_off(
        self, account: accounts.TeamAccount, cost: float
    ) -> None:
        now = self.clock.monotonic()
        if now < account.refuse_until:
            raise self._rate_limited(max(account.refuse_until - now, 0.0))

    def _refusal(self, account: accounts.TeamAccount, cost: float) -> errors.Error:
        """Return a refusal; later requests fail fast until tokens may be available."""
        now = self.clock.monotonic()
        rate = self.local.rate(account.contract)
        if not rate and not self.planner.reachable_homes(account, now):
            return self._unavailable()
        estimates = self.planner.rank_homes(account, cost, now)
        rate += sum(estimate.rate(now) for estimate in estimates)
        expected_tokens = account.cached_tokens(now) + self.local.level(
            account.contract
        )
        expected_tokens += sum(estimate.available(now) for estimate in estimates)
        wait_s = (cost - expected_tokens) / rate if rate > 0 else DEFAULT_RETRY_AFTER_S
        backoff_s = 2 * account.refusal_backoff_s if account.was_refused(now) else 0.0
        account.refusal_backoff_s = min(
            max(self.options.refusal_hold_s, backoff_s), MAX_REFUSAL_BACKOFF_S
        )
        account.refuse_until = now + max(wait_s, account.refusal_backoff_s)
        if not account.is_contended(now):
            self._refund_soon(account, now)
        return self._rate_limited(account.refuse_until - now)

    def _refund_soon(self, account: accounts.TeamAccount, now: float) -> None:
        """Refund tokens that did not suffice for a request before they expire."""
        for grant in account.grants:
            grant.settle_if_idle_at = now
        self.settle_now.set()

    def _rate_limited(self, wait_s: float) -> errors.Error:
        self.counters.refused += 1
        # Home slots count grants as outstanding until their settlements arrive.
        wait_s += self.options.settle_s
        return errors.Error(errors.Kind.RATE_LIMITED, retry_after_s=wait_s)

    def _unavailable(self) -> errors.Error:
        self.counters.unavailable += 1
        return errors.Error(
            errors.Kind.LIMITS_UNAVAILABLE, retry_after_s=DEFAULT_RETRY_AFTER_S
        )

    async def _request_round(
        self, account: accounts.TeamAccount, cost: float, min_homes: int
    ) -> list[bool]:
        """Request the tokens that waiting requests lack from home slots.

        Sends requests to at least ``min_homes`` homes if so many are reachable, and
        returns for each request whether the holder responded to it.
        """
        now = self.clock.monotonic()
        local_tokens = account.cached_tokens(now) + self.local.level(account.contract)
        shortfall = max(account.waiting_cost, cost) - local_tokens
        plan = self.planner.plan(account, cost - local_tokens, shortfall, min_homes)
        estimates = [
            estimate for requested in plan.values() for estimate, _ in requested
        ]
        minimum = cost - local_tokens if len(estimates) == 1 else 0.0
        results: list[bool] = []
        async with trio.open_nursery() as nursery:
            for address, requested in plan.items():
                request = self._build_request(account, address, requested, minimum)
                nursery.start_soon(
                    self._request_grant, account, address, request, results
                )
        return results

    async def _request_grant(
        self,
        account: accounts.TeamAccount,
        address: str,
        request: limits_pb2.Ask,
        results: list[bool],
    ) -> None:
        sent_at = self.clock.monotonic()
        self.counters.asks += 1
        responded = False
        try:
            body = await self.peers.call(
                address,
                calls.Kind.LIMIT_GRANT,
                request.SerializeToString(),
                deadline=trio.current_time() + self.options.grant_timeout_s,
            )
            reply = limits_pb2.Grant.FromString(body)
            responded = True
        except errors.Error as error:
            logger.debug("Grant request to host %s failed: %s", address, error)
        finally:
            if not responded:
                self._queue_full_refund(account, address, request)
        if not responded:
            self.planner.back_off(address, sent_at)
            results.append(False)
            return
        self.planner.reset_backoff(address)
        results.append(self._accept(account, address, request, reply, sent_at))

    def _build_request(
        self,
        account: accounts.TeamAccount,
        address: str,
        requested: list[tuple[accounts.SlotEstimate, float]],
        minimum: float,
    ) -> limits_pb2.Ask:
        self.last_request_id += 1
        self._queue_settlements(account, self.clock.monotonic())
        prefetch = self._prefetch(account)
        request = limits_pb2.Ask(
            ask_id=self.last_request_id,
            team=account.contract.team,
            need=sum(tokens for _, tokens in requested),
            prefetch=prefetch,
            ttl_s=self.options.grant_ttl_s if prefetch else self._short_ttl_s(),
            least=minimum,
            settlements=self.pending_settlements.pop(address, []),
        )
        for estimate, _ in requested:
            request.slots.add(domain=estimate.slot.domain, index=estimate.slot.index)
        return request

    def _prefetch(self, account: accounts.TeamAccount) -> float:
        """Return the tokens that recent demand would spend within ``prefetch_s``.

        Returns 0 for less than one token, which is left to other hosts.
        """
        expected_demand = account.demand * self.options.prefetch_s
        return expected_demand if expected_demand >= 1.0 else 0.0

    def _short_ttl_s(self) -> float:
        """Return the lifetime of grants that are spent as soon as they arrive."""
        short_ttl_s = SHORT_TTL_IN_TIMEOUTS * self.options.grant_timeout_s
        return min(short_ttl_s, self.options.grant_ttl_s)

    def _accept(
        self,
        account: accounts.TeamAccount,
        address: str,
        request: limits_pb2.Ask,
        reply: limits_pb2.Grant,
        sent_at: float,
    ) -> bool:
        now = self.clock.monotonic()
        lifetime_s = min(reply.ttl_s, request.ttl_s)
        responded = True
        for part in reply.parts:
            slot = layout.Slot(part.slot.domain, part.slot.index)
            if not part.held:
                responded &= self._redirect(account, slot, part, now)
                continue
            self._update_estimate(account, part, slot, now)
            if part.amount > 0 and sent_at + lifetime_s > now:
                account.grants.append(
                    accounts.CachedGrant(
                        request_id=request.ask_id,
                        slot=slot,
                        address=address,
                        remaining=part.amount,
                        expires=sent_at + lifetime_s,
                        settle_if_idle_at=sent_at + lifetime_s * SETTLE_IF_IDLE_RATIO,
                        settle_early=reply.settle_early,
                    )
                )
        return responded

    def _redirect(
        self,
        account: accounts.TeamAccount,
        slot: layout.Slot,
        part: limits_pb2.Part,
        now: float,
    ) -> bool:
        before = self.leases.known_holder_address(slot)
        self.leases.note_holder(slot, part.holder_address, part.epoch)
        if self.leases.known_holder_address(slot) != before:
            return True
        estimate = account.estimates.get(slot)
        if estimate is not None:
            estimate.skip_until = now + self.options.backoff_s
        return False

    def _update_estimate(
        self,
        account: accounts.TeamAccount,
        part: limits_pb2.Part,
        slot: layout.Slot,
        now: float,
    ) -> None:
        estimate = account.estimates.get(slot)
        if estimate is not None:
            estimate.update(part.amount + part.left, part.left, now)

    def _queue_full_refund(
        self, account: accounts.TeamAccount, address: str, request: limits_pb2.Ask
    ) -> None:
        """Queue a refund of the tokens that a lost response may have granted."""
        self.pending_settlements.setdefault(address, []).extend(request.settlements)
        for slot in request.slots:
            self.pending_settlements[address].append(
                limits_pb2.Settlement(
                    ask_id=request.ask_id,
                    slot=slot,
                    team=account.contract.team,
                    unspent=request.need + request.prefetch,
                )
            )

    def _queue_settlements(self, account: accounts.TeamAccount, now: float) -> None:
        """Queue settlements of finished grants, to be sent with the next message.

        Most settlements of a busy team are carried by its grant requests.
        """
        if account.is_contended(now):
            account.settle_at = now + CONTENDED_SETTLE_INTERVAL_S
        for grant in account.pop_finished(now):
            slot = limits_pb2.Slot(domain=grant.slot.domain, index=grant.slot.index)
            settlement = limits_pb2.Settlement(
                ask_id=grant.request_id,
                slot=slot,
                team=account.contract.team,
                unspent=grant.remaining,
            )
            self.pending_settlements.setdefault(grant.address, []).append(settlement)

    async def _send_settlements(
        self, address: str, settlements: list[limits_pb2.Settlement]
    ) -> None:
        """Send settlements without retry; a lost one only delays the refund."""
        self.counters.returns += 1
        message = limits_pb2.Return(settlements=settlements)
        try:
            await self.peers.call(
                address,
                calls.Kind.LIMIT_RETURN,
                message.SerializeToString(),
                deadline=trio.current_time() + self.options.grant_timeout_s,
            )
        except errors.Error as error:
            logger.debug("Sending settlements to host %s failed: %s", address, error)

    def _account(self, contract: model.Contract, now: float) -> accounts.TeamAccount:
        account = self.accounts.get(contract.team)
        if account is None or account.contract != contract:
            account = accounts.create(contract, self.leases.slot_layout, now, account)
            self.accounts[contract.team] = account
        return account

    def _prune(self, now: float) -> None:
        if now < self.prune_at:
            return
        self.prune_at = now + PRUNE_INTERVAL_S
        idle_before = now - ACCOUNT_RETENTION_S
        for team, account in list(self.accounts.items()):
            if (
                account.used_at < idle_before
                and not account.grants
                and not account.waiting_cost
            ):
                del self.accounts[team]
