//! The tokens that one host grants.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::bound::{BACKUP_COUNT, QuotaBound};
use super::bucket::TokenBucket;
use super::hosts::QuotaHosts;
use super::limit::QuotaLimit;
use super::messages::{BucketHandover, TokenAnswer, TokenGrant, TokenRequest};
use crate::ids::{CustomerId, HostId, Monotonic, Nonce};
use crate::lead_table::Revision;
use crate::value_type;

/// The longest time after which a refused caller is asked to retry.
const MAX_RETRY_IN: Duration = Duration::from_secs(2);
/// A host that did nothing for longer than this was stopped.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// How often a handover is sent until the other host confirms it.
const MAX_HANDOVER_SENDS: u32 = 8;
/// How many handovers of a customer are remembered, so that a late duplicate is recognized.
const REMEMBERED_HANDOVERS: usize = 8;

value_type! {
    /// The buckets of a host.
    ///
    /// A host grants in full only from a bucket that it holds: after a handover, or once no other
    /// host can hold it. Otherwise it grants from a small backup bucket. A bucket that is lost is
    /// replaced by an empty one.
    pub struct QuotaGrantor {
        bound: QuotaBound,
        customers: BTreeMap<CustomerId, Granting>,
        is_leaving: bool,
        /// When the host was last known to run.
        last_run_at: Monotonic,
        /// When it last ran again after a pause, as a process does that was stopped for a while.
        resumed_at: Monotonic,
    }

    /// The buckets of one customer.
    struct Granting {
        held: Option<HeldBucket>,
        /// The handover of the bucket to another host.
        outgoing: Option<Outgoing>,
        received: VecDeque<Nonce>,
        backup: TokenBucket,
        /// When the next caller that is refused should retry.
        retry_at: Monotonic,
    }

    /// The customer's bucket.
    struct HeldBucket {
        bucket: TokenBucket,
        /// The revision of this host's entry in the list. A host that was listed anew may have been
        /// replaced in the meantime.
        revision: Revision,
    }

    struct Outgoing {
        handover: BucketHandover,
        sends: u32,
        is_confirmed: bool,
    }
}

impl QuotaGrantor {
    /// Creates the state of a host that holds no bucket. Backup buckets fill from time zero, the
    /// start of the host.
    pub fn new(bound: QuotaBound) -> Self {
        Self {
            bound,
            customers: BTreeMap::new(),
            is_leaving: false,
            last_run_at: Monotonic::ZERO,
            resumed_at: Monotonic::ZERO,
        }
    }

    /// Answers a request for tokens of `customer`, whose quota is `limit`.
    pub fn answer(
        &mut self,
        now: Monotonic,
        hosts: &QuotaHosts,
        customer: &CustomerId,
        limit: QuotaLimit,
        request: &TokenRequest,
    ) -> TokenAnswer {
        self.note_running(now);
        let backup = self.bound.backup(limit);
        let is_leaving = self.is_leaving;
        // A host that was stopped until its proof had expired has probably been replaced.
        let may_hold = !is_leaving && hosts.proved_until() > self.resumed_at;
        let granting = self.granting(customer);
        granting.hold_if_due(now, hosts, customer, is_leaving);
        let ahead = hosts.ahead(customer);
        if let (Some(held), None, true) = (&mut granting.held, &ahead, may_hold) {
            held.refill(now, hosts.proved_until(), limit);
            let tokens = held.bucket.take(request.tokens);
            let next_in = held.bucket.next_token_in(limit);
            let retry_in = granting.note_refused(now, limit, next_in, request.refused);
            return TokenAnswer::Granted(TokenGrant {
                tokens,
                is_full: true,
                next_in,
                interval: limit.interval(),
                retry_in,
            });
        }
        if !request.is_for_backup
            && let Some(to) = granting.successor(hosts, ahead.as_ref())
        {
            return TokenAnswer::NotGrantor(Some(to));
        }
        let order = hosts.order(customer, BACKUP_COUNT + 1);
        if is_leaving || !order.contains(hosts.own()) {
            return TokenAnswer::NotGrantor(order.into_iter().next());
        }
        granting.backup.refill(now, backup);
        let tokens = granting.backup.take(request.tokens);
        let next_in = granting.backup.next_token_in(backup);
        TokenAnswer::Granted(TokenGrant {
            tokens,
            is_full: false,
            next_in,
            interval: backup.interval(),
            retry_in: MAX_RETRY_IN,
        })
    }

    /// Stops granting, because this host is leaving.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Returns the handovers to send now; called several times per second. `limits` returns a customer's quota, and `nonces` a new
    /// number for each handover.
    pub fn handovers(
        &mut self,
        now: Monotonic,
        hosts: &QuotaHosts,
        limits: impl Fn(&CustomerId) -> Option<QuotaLimit>,
        mut nonces: impl FnMut() -> Nonce,
    ) -> Vec<(CustomerId, BucketHandover)> {
        self.note_running(now);
        let mut due = Vec::new();
        for (customer, granting) in &mut self.customers {
            if let Some(to) = granting.receiver(hosts, customer, self.is_leaving)
                && let Some(mut held) = granting.held.take()
            {
                // The tokens that accrued since the last request belong to the customer.
                if let Some(limit) = limits(customer) {
                    held.refill(now, hosts.proved_until(), limit);
                }
                granting.outgoing = Some(Outgoing {
                    handover: BucketHandover {
                        to,
                        nonce: nonces(),
                        tokens: held.bucket.tokens(),
                    },
                    sends: 0,
                    is_confirmed: false,
                });
            }
            if let Some(outgoing) = &mut granting.outgoing
                && !outgoing.is_confirmed
                && outgoing.sends < MAX_HANDOVER_SENDS
            {
                outgoing.sends += 1;
                due.push((customer.clone(), outgoing.handover.clone()));
            }
        }
        due
    }

    /// Receives a bucket. Returns whether to confirm it; otherwise it is sent again.
    pub fn receive_handover(
        &mut self,
        now: Monotonic,
        hosts: &QuotaHosts,
        customer: &CustomerId,
        nonce: Nonce,
        tokens: u32,
    ) -> bool {
        let Some(revision) = hosts.own_revision() else {
            return false;
        };
        if self.is_leaving {
            return false;
        }
        let granting = self.granting(customer);
        if granting.received.contains(&nonce) {
            return true;
        }
        granting.received.push_back(nonce);
        if granting.received.len() > REMEMBERED_HANDOVERS {
            granting.received.pop_front();
        }
        granting.drop_outdated(hosts);
        if granting.held.is_none() {
            granting.outgoing = None;
            granting.held = Some(HeldBucket {
                bucket: TokenBucket::new(now, tokens),
                revision,
            });
        }
        true
    }

    /// Records that the receiver of a handover confirmed it.
    pub fn confirm_handover(&mut self, customer: &str, nonce: Nonce) {
        let outgoing = self
            .customers
            .get_mut(customer)
            .and_then(|granting| granting.outgoing.as_mut());
        if let Some(outgoing) = outgoing {
            outgoing.is_confirmed |= outgoing.handover.nonce == nonce;
        }
    }

    /// Returns whether this host holds the bucket of `customer`.
    pub fn holds(&self, customer: &str) -> bool {
        let granting = self.customers.get(customer);
        granting.is_some_and(|granting| granting.held.is_some())
    }

    /// Returns whether a handover waits for its confirmation.
    pub fn has_open_handover(&self) -> bool {
        let mut outgoing = self
            .customers
            .values()
            .filter_map(|one| one.outgoing.as_ref());
        outgoing.any(|one| !one.is_confirmed && one.sends < MAX_HANDOVER_SENDS)
    }

    fn note_running(&mut self, now: Monotonic) {
        if now.saturating_sub(self.last_run_at) > MAX_PAUSE {
            self.resumed_at = now;
        }
        self.last_run_at = now;
    }

    fn granting(&mut self, customer: &CustomerId) -> &mut Granting {
        self.customers
            .entry(customer.clone())
            .or_insert_with(|| Granting {
                held: None,
                outgoing: None,
                received: VecDeque::new(),
                backup: TokenBucket::new(Monotonic::ZERO, 0),
                retry_at: Monotonic::ZERO,
            })
    }
}

impl Granting {
    fn drop_outdated(&mut self, hosts: &QuotaHosts) {
        let revision = hosts.own_revision();
        self.held.take_if(|held| Some(held.revision) != revision);
    }

    fn hold_if_due(
        &mut self,
        now: Monotonic,
        hosts: &QuotaHosts,
        customer: &str,
        is_leaving: bool,
    ) {
        self.drop_outdated(hosts);
        if self.held.is_some() || is_leaving || now >= hosts.proved_until() {
            return;
        }
        let takeover_at = hosts.takeover_at(customer).filter(|at| *at <= now);
        if let (Some(takeover_at), Some(revision)) = (takeover_at, hosts.own_revision()) {
            self.outgoing = None;
            self.held = Some(HeldBucket {
                bucket: TokenBucket::new(takeover_at, 0),
                revision,
            });
        }
    }

    // Returns the host that has to hold the bucket that this host holds, if it is another one.
    fn receiver(&mut self, hosts: &QuotaHosts, customer: &str, is_leaving: bool) -> Option<HostId> {
        self.drop_outdated(hosts);
        self.held.as_ref()?;
        if !is_leaving {
            return hosts.ahead(customer);
        }
        let order = hosts.order(customer, 2);
        order.into_iter().find(|host| host != hosts.own())
    }

    // Returns the host to which the bucket was handed over, or will be, if it may grant.
    fn successor(&self, hosts: &QuotaHosts, ahead: Option<&HostId>) -> Option<HostId> {
        let to = self.outgoing.as_ref().map(|one| &one.handover.to);
        let to = to.filter(|to| hosts.is_listed(to));
        to.or(ahead.filter(|_| self.held.is_some())).cloned()
    }

    // Moves the end of the line of refused callers and returns the time until then.
    fn note_refused(
        &mut self,
        now: Monotonic,
        limit: QuotaLimit,
        next_in: Duration,
        refused: u32,
    ) -> Duration {
        let wait = limit.interval().saturating_mul(refused);
        let retry_at = self.retry_at.max(now + next_in) + wait;
        self.retry_at = retry_at.min(now + MAX_RETRY_IN);
        self.retry_at.saturating_sub(now)
    }
}

impl HeldBucket {
    // Without a proof of the list the host may have been replaced, so it grants half the rate.
    fn refill(&mut self, now: Monotonic, proved_until: Monotonic, limit: QuotaLimit) {
        self.bucket.refill(now.min(proved_until), limit);
        if now > proved_until {
            let halved = QuotaLimit {
                rate_per_1000_s: limit.rate_per_1000_s / 2,
                ..limit
            };
            self.bucket.refill(now, halved);
        }
    }
}
