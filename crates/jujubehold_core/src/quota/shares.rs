//! The shares of the quotas on one host: its own, which it leases, and those that it keeps.

use std::time::Duration;

use super::bound::QuotaBound;
use super::candidacy::KeeperCandidacy;
use super::host_count::{HostCount, KnownHostCount};
use super::hosts::QuotaHosts;
use super::keeper::QuotaKeeper;
use super::lessor::ShareLessor;
use super::limit::QuotaLimit;
use super::messages::{
    CountedHosts, ShareAnswer, ShareRelease, ShareRequest, TokenAnswer, TokenRequest,
};
use super::own_share::OwnShare;
use super::partition::QuotaPartition;
use crate::ids::{CustomerId, HostId, Monotonic, Nonce};
use crate::value_type;

/// How often a keeper requests the shares: a third of their lifetime, so that a request may be
/// lost.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// The shortest time after which a keeper requests shares again that were not free.
const MIN_REQUEST_PAUSE: Duration = Duration::from_millis(20);
/// How often a host that keeps nothing checks whether it has to.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

value_type! {
    /// The shares of one host.
    pub struct QuotaShares {
        process: Nonce,
        /// What is known about this host's own share.
        pub own: OwnShare,
        count: KnownHostCount,
        lessor: ShareLessor,
        candidacy: KeeperCandidacy,
        keeper: QuotaKeeper,
        request_at: Monotonic,
    }

    /// A datagram for every other host of the failure domain.
    pub enum ShareAction {
        /// Requests the receivers' shares.
        Request(ShareRequest),
        /// Gives up shares.
        Release(ShareRelease),
    }
}

impl QuotaShares {
    /// Creates the state of a process that has just started. `process` distinguishes it from every
    /// other one; `is_first_start` is whether the whole system starts for the first time.
    pub fn new(bound: QuotaBound, process: Nonce, is_first_start: bool) -> Self {
        Self {
            process,
            own: OwnShare::default(),
            count: KnownHostCount::new(is_first_start),
            lessor: ShareLessor::default(),
            candidacy: KeeperCandidacy::default(),
            keeper: QuotaKeeper::new(bound),
            request_at: Monotonic::ZERO,
        }
    }

    /// Returns what to send at `now`.
    pub fn step(
        &mut self,
        now: Monotonic,
        hosts: &QuotaHosts,
        is_leaving: bool,
    ) -> Vec<ShareAction> {
        let mut actions = Vec::new();
        self.keeper.advance(now);
        let partitions = self.candidacy.decide(now, hosts);
        if !partitions.given_up.is_empty() {
            let release = ShareRelease {
                process: self.process,
                number: self.keeper.release(now, partitions.given_up),
                partitions: partitions.given_up,
                is_leaving,
            };
            self.lessor.release(now, hosts.own(), &release);
            actions.push(ShareAction::Release(release));
        }
        if !partitions.kept.is_empty() && now >= self.request_at {
            let request = ShareRequest {
                process: self.process,
                number: self.keeper.begin_request(now),
                partitions: partitions.kept,
            };
            self.request_at = now + REQUEST_INTERVAL;
            let own = hosts.own();
            let answer = self.lease(now, own, &request);
            self.note_answer(now, own, &answer);
            actions.push(ShareAction::Request(request));
        }
        actions
    }

    /// Returns when [`step`](Self::step) has to be called next.
    pub fn wake_at(&self, now: Monotonic) -> Monotonic {
        let mut partitions = QuotaPartition::all();
        if partitions.any(|partition| self.candidacy.keeps(partition)) {
            return self.request_at;
        }
        now + CHECK_INTERVAL
    }

    /// Answers another host's request for this host's share.
    pub fn answer_request(
        &mut self,
        now: Monotonic,
        keeper: &HostId,
        request: &ShareRequest,
    ) -> ShareAnswer {
        self.candidacy.note_request(now, keeper, request.partitions);
        let mut answer = self.lease(now, keeper, request);
        answer.count = self.counted(now);
        answer
    }

    fn lease(&mut self, now: Monotonic, keeper: &HostId, request: &ShareRequest) -> ShareAnswer {
        let counted_from = self.own.counted_from(now);
        let has_credit = self.own.has_start_credit();
        self.lessor
            .answer(now, keeper, request, counted_from, has_credit)
    }

    /// Applies the answer of `host` to a request for its share.
    pub fn note_answer(&mut self, now: Monotonic, host: &HostId, answer: &ShareAnswer) {
        let Some(sent_at) = self.keeper.requested_at(answer.number) else {
            return;
        };
        let count = answer.count.as_ref();
        if let Some(count) = count.and_then(|count| HostCount::received(sent_at, count)) {
            self.note_count(now, count);
        }
        self.keeper.note_answer(now, sent_at, host, answer);
        if !answer.next_in.is_zero() {
            let request_at = now + answer.next_in.max(MIN_REQUEST_PAUSE);
            self.request_at = self.request_at.min(request_at);
        }
    }

    /// Applies another host's message that it gave up shares.
    pub fn note_release(&mut self, now: Monotonic, keeper: &HostId, release: &ShareRelease) {
        self.lessor.release(now, keeper, release);
        self.candidacy.note_release(now, keeper, release.partitions);
    }

    /// Applies a count of the hosts.
    pub fn note_count(&mut self, now: Monotonic, count: HostCount) {
        self.count.note(count);
        self.keeper.set_count(now, &self.count);
    }

    /// Returns the newest count of the hosts for another host.
    pub fn counted(&self, now: Monotonic) -> Option<CountedHosts> {
        self.count.counted(now)
    }

    /// Answers a request for tokens of `customer`, whose quota is `limit`.
    pub fn answer_tokens(
        &mut self,
        now: Monotonic,
        hosts: &QuotaHosts,
        customer: &CustomerId,
        limit: QuotaLimit,
        request: &TokenRequest,
    ) -> TokenAnswer {
        if let Some(grant) = self.keeper.grant(now, customer, limit, request) {
            return TokenAnswer::Granted(grant);
        }
        let keeper = self.keeper_of(now, hosts, QuotaPartition::of(customer));
        TokenAnswer::NotKeeper(keeper.filter(|keeper| *keeper != hosts.own()).cloned())
    }

    /// Returns the keeper of `partition` in this host's failure domain, as far as it is known.
    pub fn keeper_of<'a>(
        &'a self,
        now: Monotonic,
        hosts: &'a QuotaHosts,
        partition: QuotaPartition,
    ) -> Option<&'a HostId> {
        let lessee = self.lessor.keeper(now, partition);
        let own = self.candidacy.keeps(partition).then_some(hosts.own());
        lessee
            .or(own)
            .or_else(|| self.candidacy.other(now, partition))
            .or_else(|| hosts.first_own(partition))
    }
}
