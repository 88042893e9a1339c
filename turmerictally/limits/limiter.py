"""Admit requests within the team's rate and burst over the whole fleet."""

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

MAX_ROUNDS = 8  # rounds of asks for one request
REFUSED_ROUNDS = 2  # soon after a refusal
HOLD_MAX_S = 1.0
CONTENDED_SETTLE_S = 1.0
SHORT_TTL_TIMEOUTS = 2.5  # a grant without prefetch lives for so many timeouts
IDLE_RATIO = 0.25  # of a grant's lifetime, after which its rest goes back
FORGET_ACCOUNT_S = 60.0
PRUNE_S = 10.0
UNKNOWN_RETRY_S = 1.0


@attrs.define
class Counters:
    """Count decisions and messages since the start."""

    admitted: int = 0
    admitted_locally: int = 0
    refused: int = 0
    unavailable: int = 0
    asks: int = 0
    returns: int = 0


class RateLimiter:
    """Hold the limits of all teams on one host."""

    def __init__(
        self,
        held: leases.LeaseManager,
        local: local_slots.LocalSlots,
        peers: calls.Peers,
        clock: clocks.Clock,
        options: settings.Limits,
    ) -> None:
        self.leases = held
        self.home = local
        self.peers = peers
        self.clock = clock
        self.options = options
        self.accounts: dict[str, accounts.TeamAccount] = {}
        self.outbox: dict[str, list[limits_pb2.Settlement]] = {}
        self.counters = Counters()
        self.last_ask_id = 0
        self.prune_at = -math.inf
        self.hurry = trio.Event()
        self.planner = planner.GrantPlanner(held, clock, options)
        peers.handle(calls.Kind.LIMIT_GRANT, local.handle_grant_request)
        peers.handle(calls.Kind.LIMIT_RETURN, local.handle_return)

    async def admit(
        self, contract: model.Contract, cost: float = 1.0, *, deadline: float
    ) -> None:
        """Spend ``cost`` tokens, or raise why not.

        ``deadline`` is on the local clock. Raises ``errors.Error`` with
        ``RATE_LIMITED`` and when to come back, or ``LIMITS_UNAVAILABLE`` when no
        holder of the team's slots can be reached.
        """
        if cost > contract.burst:
            self.counters.refused += 1
            raise errors.Error(
                errors.Kind.RATE_LIMITED, "The request exceeds the team's burst."
            )
        now = self.clock.monotonic()
        account = self._account(contract, now)
        account.count_demand(cost, now)
        if account.waiting == 0 and self._spend(account, cost):
            self.counters.admitted_locally += 1
        else:
            await self._admit_in_turn(account, cost, deadline)
        self.counters.admitted += 1

    async def run(self) -> None:
        """Settle grants until cancelled."""
        while True:
            with trio.move_on_after(self.options.settle_s):
                await self.hurry.wait()
            self.hurry = trio.Event()
            await self.settle()

    async def settle(self) -> None:
        """Send the settlements of grants that are spent or idle."""
        now = self.clock.monotonic()
        for account in self.accounts.values():
            if account.cached and now >= account.settle_at:
                self._queue_settlements(account, now)
        self._prune(now)
        if not self.outbox:
            return
        outbox, self.outbox = self.outbox, {}
        async with trio.open_nursery() as nursery:
            for address, settlements in outbox.items():
                nursery.start_soon(self._send_return, address, settlements)

    async def stop(self) -> None:
        """Return all unspent grants and release the slots, for a planned stop."""
        now = self.clock.monotonic()
        for account in self.accounts.values():
            account.settle_at = now
            for grant in account.cached:
                grant.idle_at = now
        await self.settle()
        await self.leases.stop()

    async def _admit_in_turn(
        self, account: accounts.TeamAccount, cost: float, deadline: float
    ) -> None:
        self._refuse_early(account, cost)
        account.waiting += cost
        time_left = deadline - self.clock.monotonic()
        try:
            with trio.move_on_after(max(0.0, time_left)):
                async with account.lock:
                    await self._admit_alone(account, cost)
                    return
            raise self._unavailable()
        finally:
            account.waiting = max(0.0, account.waiting - cost)

    async def _admit_alone(self, account: accounts.TeamAccount, cost: float) -> None:
        failures = 0
        now = self.clock.monotonic()
        rounds = REFUSED_ROUNDS if account.was_refused(now) else MAX_ROUNDS
        for _ in range(rounds):
            if self._spend(account, cost):
                account.hold_s /= 2
                return
            self._refuse_early(account, cost)
            results = await self._ask_round(account, cost, 1 + failures)
            failures += results.count(False)
            if not results:
                break
        if not self._spend(account, cost):
            raise self._refusal(account, cost)

    def _spend(self, account: accounts.TeamAccount, cost: float) -> bool:
        """Spend local tokens: cached grants first, as they expire."""
        now = self.clock.monotonic()
        cached = min(cost, account.cached_level(now))
        if not self.home.take(account.contract, cost - cached):
            return False
        account.spend_cached(cached, now)
        return True

    def _refuse_early(self, account: accounts.TeamAccount, cost: float) -> None:
        now = self.clock.monotonic()
        if now < account.refuse_until:
            raise self._rate_limited(max(account.refuse_until - now, 0.0))

    def _refusal(self, account: accounts.TeamAccount, cost: float) -> errors.Error:
        """Return the refusal and refuse cheaply until tokens may be there."""
        now = self.clock.monotonic()
        rate = self.home.rate(account.contract)
        if not rate and not self.planner.reachable(account, now):
            return self._unavailable()
        estimates = self.planner.choices(account, cost, now)
        rate += sum(estimate.rate(now) for estimate in estimates)
        known = account.cached_level(now) + self.home.level(account.contract)
        known += sum(estimate.available(now) for estimate in estimates)
        wait = (cost - known) / rate if rate > 0 else UNKNOWN_RETRY_S
        hold = 2 * account.hold_s if account.was_refused(now) else 0.0
        account.hold_s = min(max(self.options.refusal_hold_s, hold), HOLD_MAX_S)
        account.refuse_until = now + max(wait, account.hold_s)
        if not account.is_contended(now):
            self._return_soon(account, now)
        return self._rate_limited(account.refuse_until - now)

    def _return_soon(self, account: accounts.TeamAccount, now: float) -> None:
        """Return what was gathered in vain before it expires."""
        for grant in account.cached:
            grant.idle_at = now
        self.hurry.set()

    def _rate_limited(self, wait: float) -> errors.Error:
        self.counters.refused += 1
        # The homes count spent grants until their settlements arrive.
        wait += self.options.settle_s
        return errors.Error(errors.Kind.RATE_LIMITED, retry_after_s=wait)

    def _unavailable(self) -> errors.Error:
        self.counters.unavailable += 1
        return errors.Error(
            errors.Kind.LIMITS_UNAVAILABLE, retry_after_s=UNKNOWN_RETRY_S
        )

    async def _ask_round(
        self, account: accounts.TeamAccount, cost: float, width: int
    ) -> list[bool]:
        """Ask homes for what waiting requests lack; tell which asks were answered.

        At least ``width`` homes are asked, if there are so many.
        """
        now = self.clock.monotonic()
        have = account.cached_level(now) + self.home.level(account.contract)
        short = max(account.waiting, cost) - have
        plan = self.planner.plan(account, cost - have, short, width)
        asked = [estimate for wanted in plan.values() for estimate, _ in wanted]
        least = cost - have if len(asked) == 1 else 0.0
        results: list[bool] = []
        async with trio.open_nursery() as nursery:
            for address, wanted in plan.items():
                ask = self._write_ask(account, address, wanted, least)
                nursery.start_soon(self._ask, account, address, ask, results)
        return results

    async def _ask(
        self,
        account: accounts.TeamAccount,
        address: str,
        ask: limits_pb2.Ask,
        results: list[bool],
    ) -> None:
        sent = self.clock.monotonic()
        self.counters.asks += 1
        answered = False
        try:
            body = await self.peers.call(
                address,
                calls.Kind.LIMIT_GRANT,
                ask.SerializeToString(),
                deadline=trio.current_time() + self.options.grant_timeout_s,
            )
            reply = limits_pb2.Grant.FromString(body)
            answered = True
        except errors.Error as error:
            logger.debug("Host %s did not grant tokens: %s", address, error)
        finally:
            if not answered:
                self._give_up(account, address, ask)
        if not answered:
            self.planner.back_off(address, sent)
            results.append(False)
            return
        self.planner.answered(address)
        results.append(self._accept(account, address, ask, reply, sent))

    def _write_ask(
        self,
        account: accounts.TeamAccount,
        address: str,
        wanted: list[tuple[accounts.SlotEstimate, float]],
        least: float,
    ) -> limits_pb2.Ask:
        self.last_ask_id += 1
        self._queue_settlements(account, self.clock.monotonic())
        prefetch = self._prefetch(account)
        ask = limits_pb2.Ask(
            ask_id=self.last_ask_id,
            team=account.contract.team,
            need=sum(part for _, part in wanted),
            prefetch=prefetch,
            ttl_s=self.options.grant_ttl_s if prefetch else self._short_ttl(),
            least=least,
            settlements=self.outbox.pop(address, []),
        )
        for estimate, _ in wanted:
            ask.slots.add(domain=estimate.slot.domain, index=estimate.slot.index)
        return ask

    def _prefetch(self, account: accounts.TeamAccount) -> float:
        """Return the tokens that recent demand will spend within the horizon.

        Less than one token is not worth holding back from other hosts.
        """
        expected = account.demand * self.options.prefetch_s
        return expected if expected >= 1.0 else 0.0

    def _short_ttl(self) -> float:
        """Return the lifetime of tokens that are spent when they arrive."""
        short = SHORT_TTL_TIMEOUTS * self.options.grant_timeout_s
        return min(short, self.options.grant_ttl_s)

    def _accept(
        self,
        account: accounts.TeamAccount,
        address: str,
        ask: limits_pb2.Ask,
        reply: limits_pb2.Grant,
        sent: float,
    ) -> bool:
        now = self.clock.monotonic()
        ttl = min(reply.ttl_s, ask.ttl_s)
        answered = True
        for part in reply.parts:
            slot = layout.Slot(part.slot.domain, part.slot.index)
            if not part.held:
                answered &= self._redirect(account, slot, part, now)
                continue
            self._note(account, part, slot, now)
            if part.amount > 0 and sent + ttl > now:
                account.cached.append(
                    accounts.CachedGrant(
                        ask_id=ask.ask_id,
                        slot=slot,
                        address=address,
                        left=part.amount,
                        expires=sent + ttl,
                        idle_at=sent + ttl * IDLE_RATIO,
                        settle_early=reply.settle_early,
                    )
                )
        return answered

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

    def _note(
        self,
        account: accounts.TeamAccount,
        part: limits_pb2.Part,
        slot: layout.Slot,
        now: float,
    ) -> None:
        estimate = account.estimates.get(slot)
        if estimate is not None:
            estimate.update(part.amount + part.left, part.left, now)

    def _give_up(
        self, account: accounts.TeamAccount, address: str, ask: limits_pb2.Ask
    ) -> None:
        """Return what a lost or late answer may have granted."""
        self.outbox.setdefault(address, []).extend(ask.settlements)
        for slot in ask.slots:
            self.outbox[address].append(
                limits_pb2.Settlement(
                    ask_id=ask.ask_id,
                    slot=slot,
                    team=account.contract.team,
                    unspent=ask.need + ask.prefetch,
                )
            )

    def _queue_settlements(self, account: accounts.TeamAccount, now: float) -> None:
        """Queue the settlements that are due; a busy team's mostly ride on asks."""
        if account.is_contended(now):
            account.settle_at = now + CONTENDED_SETTLE_S
        for grant in account.take_finished(now):
            slot = limits_pb2.Slot(domain=grant.slot.domain, index=grant.slot.index)
            settlement = limits_pb2.Settlement(
                ask_id=grant.ask_id,
                slot=slot,
                team=account.contract.team,
                unspent=grant.left,
            )
            self.outbox.setdefault(grant.address, []).append(settlement)

    async def _send_return(
        self, address: str, settlements: list[limits_pb2.Settlement]
    ) -> None:
        """Send settlements once; a lost one only delays its tokens."""
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
            logger.debug("Host %s took no settlements: %s", address, error)

    def _account(self, contract: model.Contract, now: float) -> accounts.TeamAccount:
        found = self.accounts.get(contract.team)
        if found is None or found.contract != contract:
            found = accounts.create(contract, self.leases.slot_layout, now, found)
            self.accounts[contract.team] = found
        return found

    def _prune(self, now: float) -> None:
        if now < self.prune_at:
            return
        self.prune_at = now + PRUNE_S
        idle = now - FORGET_ACCOUNT_S
        for team, account in list(self.accounts.items()):
            if account.used_at < idle and not account.cached and not account.waiting:
                del self.accounts[team]
