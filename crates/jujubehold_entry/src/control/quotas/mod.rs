//! Quotas of customers: tokens for the operations of this host, and the shares that hosts lease to
//! the keepers of their failure domain.
//!
//! The decisions are in [`jujubehold_core::quota`]. Without quotas nothing is sent.

mod operations;
mod share_messages;
mod token_messages;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;

use jujubehold_core::quota::{
    CountedHosts, HostCount, NameRecord, PartitionSet, PartitionSources, QuotaHost, QuotaHosts,
    QuotaLimit, QuotaPartition, QuotaShares, QuotaSources,
};
use jujubehold_settings::EntrySettings;

use super::peers::Peers;
use crate::prelude::*;
use crate::protocol::Customers;
use operations::CustomerTokens;

pub(crate) use operations::{AdmittedOperation, admit, expect_operation, give_back};
pub(super) use share_messages::{
    answer_share_request, apply_release, apply_share_answer, keep_shares,
};
pub(super) use token_messages::{answer_token_request, apply_token_answer};

/// The state of quotas on this host.
#[derive(Debug)]
pub(crate) struct Quotas {
    hosts: RefCell<QuotaHosts>,
    hosts_digest: Cell<Option<u64>>,
    shares: RefCell<QuotaShares>,
    sources: RefCell<QuotaSources>,
    customers: RefCell<BTreeMap<CustomerId, Rc<CustomerTokens>>>,
    last_operation: Cell<u64>,
    /// The partitions that this host keeps, for the log.
    kept: Cell<PartitionSet>,
    peers: OnceCell<Rc<Peers>>,
}

impl Quotas {
    pub(crate) fn new(settings: &EntrySettings, process: Nonce) -> Self {
        let hosts = QuotaHosts::new(settings.host.clone(), settings.domain.clone());
        let shares = QuotaShares::new(settings.quota_bound, process, settings.is_first_start);
        Self {
            hosts: RefCell::new(hosts),
            hosts_digest: Cell::new(None),
            shares: RefCell::new(shares),
            sources: RefCell::default(),
            customers: RefCell::default(),
            last_operation: Cell::new(0),
            kept: Cell::default(),
            peers: OnceCell::new(),
        }
    }

    /// Sets the socket to the other hosts.
    pub(super) fn set_peers(&self, peers: Rc<Peers>) {
        // It is set once, before the host accepts callers.
        let _ = self.peers.set(peers);
    }

    /// Records that this host was listed for the first time at `now`, and its name recorded with it.
    pub(super) fn note_first_listing(&self, now: Monotonic) {
        self.shares.borrow_mut().own.note_first_listing(now);
    }

    /// Records what the store said at `now` about this host's name, in answer to a call that was
    /// made at `asked_at` while the host was listed.
    pub(super) fn note_own_record(&self, asked_at: Monotonic, now: Monotonic, record: NameRecord) {
        let mut shares = self.shares.borrow_mut();
        shares.own.note_record(asked_at, now, record);
    }

    /// Returns whether the store has to be asked about this host's name.
    pub(super) fn needs_own_record(&self) -> bool {
        self.shares.borrow().own.needs_lookup()
    }

    /// Returns what has to be written about this host's name.
    pub(super) fn own_record_to_write(&self, now: Monotonic) -> Option<NameRecord> {
        self.shares.borrow().own.record_to_write(now)
    }

    /// Records that `record` was written about this host's name.
    pub(super) fn note_own_record_written(&self, now: Monotonic, record: NameRecord) {
        self.shares.borrow_mut().own.note_written(now, record);
    }

    /// Records that the earlier process of this host ran for long.
    pub(super) fn note_long_earlier_process(&self) {
        self.shares.borrow_mut().own.note_long_earlier_process();
    }

    /// Applies a count of the hosts.
    pub(super) fn note_count(&self, now: Monotonic, count: HostCount) {
        self.shares.borrow_mut().note_count(now, count);
    }

    /// Returns the newest count of the hosts for another host.
    pub(super) fn counted_hosts(&self, now: Monotonic) -> Option<CountedHosts> {
        self.shares.borrow().counted(now)
    }

    // Calls `action` with the keepers of a customer's quota.
    fn with_keepers<T>(
        &self,
        now: Monotonic,
        customer: &str,
        action: impl FnOnce(&mut PartitionSources) -> T,
    ) -> T {
        let (hosts, shares) = (self.hosts.borrow(), self.shares.borrow());
        let partition = QuotaPartition::of(customer);
        action(&mut PartitionSources {
            sources: &mut self.sources.borrow_mut(),
            hosts: &hosts,
            partition,
            own_keeper: shares.keeper_of(now, &hosts, partition),
        })
    }

    // Brings the list of hosts up to date.
    fn refresh_hosts<P: Platform>(&self, shared: &Shared<P>) {
        let lead_state = shared.lead_state.borrow();
        if let Some(listed_at) = lead_state.proof.read_sent_at() {
            self.shares.borrow_mut().own.note_listed(listed_at);
        }
        let digest = Some(lead_state.members_digest);
        if self.hosts_digest.replace(digest) == digest {
            return;
        }
        let listed = lead_state.members.iter().map(|(host, member)| {
            let entry = QuotaHost {
                domain: member.domain.clone(),
                revision: member.key_revision,
            };
            (host.clone(), entry)
        });
        self.hosts.borrow_mut().set_listed(listed.collect());
    }
}

/// Returns whether the configuration gives any customer a quota.
pub(super) fn has_quotas<P: Platform>(shared: &Shared<P>) -> bool {
    let configuration = shared.configuration.borrow();
    let customers = configuration
        .as_ref()
        .and_then(|current| current.customers.as_ref());
    customers.is_some_and(Customers::has_quotas)
}

// Returns the customer with its quota if it has one.
fn limited<'a, P: Platform>(
    shared: &Shared<P>,
    customer: Option<&'a CustomerId>,
) -> Option<(&'a CustomerId, QuotaLimit)> {
    let customer = customer?;
    let configuration = shared.configuration.borrow();
    let customers = configuration.as_ref()?.customers.as_ref()?;
    Some((customer, customers.quota(customer)?))
}
