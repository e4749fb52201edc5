//! One simulated host.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_core::quota::{
    HostCount, NameRecord, PartitionSources, QuotaAction, QuotaBound, QuotaHost, QuotaHosts,
    QuotaLimit, QuotaPartition, QuotaShares, QuotaSources, QuotaTokens, TokenAnswer, TokenRequest,
};

/// What a host reads from the store.
#[derive(Clone)]
pub(crate) struct Listing {
    pub(crate) sent_at: Duration,
    pub(crate) hosts: BTreeMap<HostId, QuotaHost>,
    pub(crate) name_count: u32,
    pub(crate) own_record: NameRecord,
    /// The processes that ran for long.
    pub(crate) long_lived: BTreeMap<HostId, Nonce>,
}

/// A host with its own clock, which starts with the process.
pub(crate) struct SimulatedHost {
    pub(crate) name: HostId,
    pub(crate) domain: DomainId,
    pub(crate) started_at: Duration,
    pub(crate) is_up: bool,
    pub(crate) is_leaving: bool,
    pub(crate) has_joined: bool,
    pub(crate) process: Nonce,
    /// The host's earlier process.
    pub(crate) earlier_process: Option<Nonce>,
    pub(crate) frozen_until: Duration,
    pub(crate) hosts: QuotaHosts,
    pub(crate) shares: QuotaShares,
    pub(crate) sources: QuotaSources,
    pub(crate) tokens: BTreeMap<CustomerId, QuotaTokens>,
    pub(crate) limits: BTreeMap<CustomerId, QuotaLimit>,
    pub(crate) next_read_at: Duration,
    pub(crate) step_at: Monotonic,
}

impl SimulatedHost {
    pub(crate) fn new(
        name: HostId,
        domain: DomainId,
        started_at: Duration,
        process: Nonce,
        limits: &BTreeMap<CustomerId, QuotaLimit>,
    ) -> Self {
        let is_first_start = started_at.is_zero();
        let bound = QuotaBound::default();
        Self {
            hosts: QuotaHosts::new(name.clone(), domain.clone()),
            name,
            domain,
            started_at,
            is_up: true,
            is_leaving: false,
            has_joined: false,
            process,
            earlier_process: None,
            frozen_until: Duration::ZERO,
            shares: QuotaShares::new(bound, process, is_first_start),
            sources: QuotaSources::default(),
            tokens: BTreeMap::new(),
            limits: limits.clone(),
            next_read_at: started_at,
            step_at: Monotonic::ZERO,
        }
    }

    /// Returns whether the process started with the whole system.
    pub(crate) fn is_first_start(&self) -> bool {
        self.started_at.is_zero()
    }

    /// Converts a time of the simulation to the host's clock.
    pub(crate) fn local(&self, now: Duration) -> Monotonic {
        now.saturating_sub(self.started_at)
    }

    pub(crate) fn runs(&self, now: Duration) -> bool {
        self.is_up && now >= self.frozen_until
    }

    /// Applies a read of the store.
    pub(crate) fn apply_listing(&mut self, now: Duration, listing: &Listing) {
        let local = self.local(now);
        let read_at = self.local(listing.sent_at);
        self.hosts.set_listed(listing.hosts.clone());
        if listing.hosts.contains_key(&self.name) {
            self.shares.own.note_listed(read_at);
            let record = listing.own_record;
            self.shares.own.note_record(read_at, local, record);
        }
        let long_lived = listing.long_lived.get(&self.name);
        if long_lived.is_some() && long_lived == self.earlier_process.as_ref() {
            self.shares.own.note_long_earlier_process();
        }
        let count = HostCount {
            hosts: listing.name_count,
            read_at,
        };
        self.shares.note_count(local, count);
    }

    /// Returns what the host does for the waiting operations of `customer`.
    pub(crate) fn step_tokens(&mut self, now: Duration, customer: &CustomerId) -> Vec<QuotaAction> {
        let local = self.local(now);
        let Some(mut tokens) = self.tokens.remove(customer) else {
            return Vec::new();
        };
        let actions = tokens.step(local, &mut self.keepers(local, customer));
        self.tokens.insert(customer.clone(), tokens);
        actions
    }

    pub(crate) fn note_tokens(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        (number, from): (u64, &HostId),
        answer: TokenAnswer,
    ) {
        let local = self.local(now);
        let Some(mut tokens) = self.tokens.remove(customer) else {
            return;
        };
        let mut keepers = self.keepers(local, customer);
        tokens.note_answer(local, number, from, answer, &mut keepers);
        self.tokens.insert(customer.clone(), tokens);
    }

    pub(crate) fn answer_tokens(
        &mut self,
        now: Duration,
        customer: &CustomerId,
        request: &TokenRequest,
    ) -> TokenAnswer {
        let local = self.local(now);
        let limit = self.limits[customer];
        self.shares
            .answer_tokens(local, &self.hosts, customer, limit, request)
    }

    fn keepers(&mut self, local: Monotonic, customer: &CustomerId) -> PartitionSources<'_> {
        let partition = QuotaPartition::of(customer);
        PartitionSources {
            sources: &mut self.sources,
            hosts: &self.hosts,
            partition,
            own_keeper: self.shares.keeper_of(local, &self.hosts, partition),
        }
    }
}
