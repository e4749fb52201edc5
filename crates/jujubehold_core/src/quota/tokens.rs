//! The tokens of one customer that a host has requested, and the operations that wait for them.
//!
//! The load that this addresses: a customer that sends many times its quota through all hosts. A
//! host has at most one request in flight per customer and pauses after an answer with too few
//! tokens, so the grantor receives a bounded number of datagrams whatever the callers send.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::bound::TOKEN_LIFETIME;
use super::hosts::QuotaHosts;
use super::messages::{TokenAnswer, TokenGrant, TokenRequest};
use crate::ids::{HostId, Monotonic};
use crate::refusal_reason::RefusalReason;
use crate::value_type;

/// The shortest pause between an answer with too few tokens and the next request.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// How long an answer may take. A round trip between regions takes 40 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// How long a host is skipped that did not answer twice in a row. One lost datagram in 2,000 is
/// normal and sends only the one request to the backup, whose bucket is small.
const SKIP_TIME: Duration = Duration::from_secs(2);
/// How long a host is skipped whose backup bucket is empty.
const EMPTY_BACKUP_SKIP_TIME: Duration = Duration::from_millis(200);
/// How long the host named by another one is asked before the order of hosts applies again.
const REDIRECT_TIME: Duration = Duration::from_secs(2);
/// How many hosts are asked in turn.
const ASKED_HOSTS: usize = 3;
/// When a caller should retry if no host answered.
const UNKNOWN_RETRY_IN: Duration = Duration::from_millis(200);
/// The longest time after which a refused caller is asked to retry.
const MAX_RETRY_IN: Duration = Duration::from_secs(2);

value_type! {
    /// The tokens of one customer on a host.
    #[derive(Default)]
    pub struct QuotaTokens {
        batches: VecDeque<TokenBatch>,
        waiting: VecDeque<WaitingOperation>,
        /// Tokens to request for operations that are about to begin.
        expected: u32,
        request: Option<InFlight>,
        last_number: u64,
        ask_at: Monotonic,
        shortage: Option<Shortage>,
        silences: BTreeMap<HostId, Silence>,
        redirect: Option<(HostId, Monotonic)>,
        refused: u32,
    }

    struct TokenBatch {
        count: u32,
        expires_at: Monotonic,
    }

    struct WaitingOperation {
        id: u64,
        give_up_at: Monotonic,
    }

    struct InFlight {
        number: u64,
        host: HostId,
        tokens: u32,
        sent_at: Monotonic,
    }

    /// What the latest answer with too few tokens from the customer's bucket said.
    struct Shortage {
        next_at: Monotonic,
        interval: Duration,
        retry_at: Monotonic,
    }

    struct Silence {
        count: u32,
        skipped_until: Monotonic,
    }

    /// What the host has to do.
    pub enum QuotaAction {
        /// The waiting operation has a token and runs.
        Admit {
            /// The operation.
            id: u64,
            /// Until when the token may be used.
            expires_at: Monotonic,
        },
        /// The waiting operation is refused.
        Refuse {
            /// The operation.
            id: u64,
            /// Why.
            reason: RefusalReason,
            /// When the caller should retry.
            retry_in: Duration,
        },
        /// A request is sent.
        Request {
            /// The host to which it is sent; it may be this host.
            to: HostId,
            /// The request.
            request: TokenRequest,
        },
    }
}

impl QuotaTokens {
    /// Adds an operation that waits for a token until `give_up_at`.
    pub fn wait(&mut self, id: u64, give_up_at: Monotonic) {
        self.waiting.push_back(WaitingOperation { id, give_up_at });
    }

    /// Requests a token for an operation that is about to begin.
    pub fn expect(&mut self, now: Monotonic) {
        self.expire(now);
        let held: u32 = self.batches.iter().map(|batch| batch.count).sum();
        if held == 0 && now >= self.ask_at {
            self.expected = self.expected.saturating_add(1);
        }
    }

    /// Takes back the token of an operation that did not run.
    pub fn give_back(&mut self, expires_at: Monotonic) {
        self.batches.push_back(TokenBatch {
            count: 1,
            expires_at,
        });
    }

    /// Returns what to do at `now`.
    pub fn step(&mut self, now: Monotonic, hosts: &QuotaHosts, customer: &str) -> Vec<QuotaAction> {
        let mut actions = Vec::new();
        self.expire(now);
        self.admit(&mut actions);
        self.refuse(now, &mut actions);
        self.request(now, hosts, customer, &mut actions);
        actions
    }

    /// Returns when [`Self::step`] has to be called next, unless an answer arrives; `None` if no
    /// operation waits.
    pub fn wake_at(&self) -> Option<Monotonic> {
        let in_flight = self.request.as_ref();
        let answer_due = in_flight.map(|request| request.sent_at + ANSWER_TIMEOUT);
        let give_up_at = self.waiting.iter().map(|one| one.give_up_at).min();
        let ask_at = (self.wanted() > 0).then_some(self.ask_at);
        let next = if in_flight.is_some() {
            answer_due
        } else {
            ask_at
        };
        next.into_iter().chain(give_up_at).min()
    }

    /// Applies the answer of `host` to the request `number`.
    pub fn note_answer(&mut self, now: Monotonic, number: u64, host: &HostId, answer: TokenAnswer) {
        let request = self
            .request
            .take_if(|request| request.number == number && request.host == *host);
        let Some(request) = request else {
            return;
        };
        self.silences.remove(&request.host);
        match answer {
            TokenAnswer::Granted(grant) => self.note_grant(now, &request, &grant),
            TokenAnswer::NotGrantor(to) => self.note_redirect(now, &request, to),
        }
    }

    fn note_grant(&mut self, now: Monotonic, request: &InFlight, grant: &TokenGrant) {
        self.batches.push_back(TokenBatch {
            count: grant.tokens,
            expires_at: request.sent_at + TOKEN_LIFETIME,
        });
        if grant.tokens >= request.tokens {
            self.shortage = None;
            self.ask_at = now;
            return;
        }
        if grant.is_full {
            self.ask_at = now + grant.next_in.max(MIN_PAUSE);
            self.shortage = Some(Shortage {
                next_at: now + grant.next_in,
                interval: grant.interval,
                retry_at: now + grant.retry_in,
            });
        } else {
            self.shortage = None;
            self.ask_at = now + MIN_PAUSE;
            self.skip(&request.host, now + EMPTY_BACKUP_SKIP_TIME);
        }
    }

    fn note_redirect(&mut self, now: Monotonic, request: &InFlight, to: Option<HostId>) {
        let was_redirected = self
            .redirect
            .take_if(|(host, _)| *host == request.host)
            .is_some();
        match to {
            // A host that does not answer is not asked again at once.
            Some(to) if to != request.host && !was_redirected && !self.is_skipped(now, &to) => {
                self.redirect = Some((to, now + REDIRECT_TIME));
                self.ask_at = now;
            }
            Some(_) | None => {
                self.ask_at = now + MIN_PAUSE;
                self.skip(&request.host, now + EMPTY_BACKUP_SKIP_TIME);
            }
        }
    }

    fn skip(&mut self, host: &HostId, until: Monotonic) {
        let silence = Silence {
            count: 0,
            skipped_until: until,
        };
        self.silences.insert(host.clone(), silence);
    }

    fn expire(&mut self, now: Monotonic) {
        self.batches
            .retain(|batch| batch.count > 0 && now < batch.expires_at);
    }

    fn admit(&mut self, actions: &mut Vec<QuotaAction>) {
        while !self.waiting.is_empty()
            && let Some(batch) = self.batches.front_mut()
        {
            if batch.count == 0 {
                self.batches.pop_front();
                continue;
            }
            batch.count -= 1;
            let expires_at = batch.expires_at;
            if let Some(operation) = self.waiting.pop_front() {
                let id = operation.id;
                actions.push(QuotaAction::Admit { id, expires_at });
            }
        }
    }

    // Refuses the operations that have waited long enough, and those for which no token is due
    // before they would have.
    fn refuse(&mut self, now: Monotonic, actions: &mut Vec<QuotaAction>) {
        let mut due_at = self
            .shortage
            .as_ref()
            .map(|shortage| shortage.next_at.max(self.ask_at).max(now));
        let interval = self.shortage.as_ref().map(|shortage| shortage.interval);
        for operation in std::mem::take(&mut self.waiting) {
            let is_late = due_at.is_some_and(|due_at| due_at >= operation.give_up_at);
            if now < operation.give_up_at && !is_late {
                due_at = due_at.map(|due_at| due_at + interval.unwrap_or_default());
                self.waiting.push_back(operation);
                continue;
            }
            let id = operation.id;
            actions.push(self.refusal(now, id));
        }
    }

    fn refusal(&mut self, now: Monotonic, id: u64) -> QuotaAction {
        let Some(shortage) = &mut self.shortage else {
            return QuotaAction::Refuse {
                id,
                reason: RefusalReason::QuotaUnknown,
                retry_in: UNKNOWN_RETRY_IN,
            };
        };
        let retry_in = shortage.retry_at.saturating_sub(now).min(MAX_RETRY_IN);
        shortage.retry_at = shortage.retry_at.max(now) + shortage.interval;
        self.refused = self.refused.saturating_add(1);
        QuotaAction::Refuse {
            id,
            reason: RefusalReason::QuotaExceeded,
            retry_in,
        }
    }

    fn request(
        &mut self,
        now: Monotonic,
        hosts: &QuotaHosts,
        customer: &str,
        actions: &mut Vec<QuotaAction>,
    ) {
        self.note_silence(now);
        let tokens = self.wanted();
        if self.request.is_some() || tokens == 0 || now < self.ask_at {
            return;
        }
        let Some((host, is_for_backup)) = self.target(now, hosts, customer) else {
            self.expected = 0;
            self.ask_at = now + MIN_PAUSE;
            return;
        };
        self.last_number += 1;
        self.expected = 0;
        self.request = Some(InFlight {
            number: self.last_number,
            host: host.clone(),
            tokens,
            sent_at: now,
        });
        actions.push(QuotaAction::Request {
            to: host,
            request: TokenRequest {
                number: self.last_number,
                tokens,
                refused: std::mem::take(&mut self.refused),
                is_for_backup,
            },
        });
    }

    fn note_silence(&mut self, now: Monotonic) {
        let request = self
            .request
            .take_if(|request| now >= request.sent_at + ANSWER_TIMEOUT);
        let Some(request) = request else {
            return;
        };
        self.redirect.take_if(|(host, _)| *host == request.host);
        let before = self.silences.get(&request.host);
        let count = before.map_or(0, |silence| silence.count) + 1;
        let skip = if count > 1 { SKIP_TIME } else { MIN_PAUSE };
        let skipped_until = now + skip;
        let silence = Silence {
            count,
            skipped_until,
        };
        self.silences.insert(request.host, silence);
        self.shortage = None;
        self.ask_at = now;
    }

    fn target(
        &mut self,
        now: Monotonic,
        hosts: &QuotaHosts,
        customer: &str,
    ) -> Option<(HostId, bool)> {
        self.redirect.take_if(|(_, until)| now >= *until);
        if let Some((host, _)) = &self.redirect
            && !self.is_skipped(now, host)
        {
            return Some((host.clone(), false));
        }
        let order = hosts.order(customer, ASKED_HOSTS);
        let found = order.iter().position(|host| !self.is_skipped(now, host))?;
        Some((order.get(found)?.clone(), found > 0))
    }

    fn is_skipped(&self, now: Monotonic, host: &HostId) -> bool {
        let silence = self.silences.get(host);
        silence.is_some_and(|silence| now < silence.skipped_until)
    }

    fn wanted(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        waiting.max(self.expected)
    }
}
