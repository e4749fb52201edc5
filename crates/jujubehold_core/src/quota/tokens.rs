//! The tokens of one customer that a host has requested, and the operations that wait for them.
//!
//! The load that this addresses: a customer that sends many times its quota through all hosts. A
//! host has at most one request in flight per customer and pauses after an answer with too few
//! tokens, so the keepers receive a bounded number of datagrams whatever the callers send. The
//! keeper of the host's own failure domain is asked first, and those of the others for what it
//! lacks.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::bound::TOKEN_LIFETIME;
use super::messages::{TokenAnswer, TokenGrant, TokenRequest};
use super::sources::{NextSource, PartitionSources};
use crate::ids::{HostId, Monotonic};
use crate::refusal_reason::RefusalReason;
use crate::value_type;

/// The shortest pause between an answer with too few tokens and the next request.
const MIN_PAUSE: Duration = Duration::from_millis(50);
/// How long an answer may take. A round trip between regions takes 40 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);
/// The shortest time for which a keeper of another failure domain that had too few tokens is not
/// asked again. What accrues to it is meant for the hosts of its own domain first.
const OTHER_KEEPER_PAUSE: Duration = Duration::from_secs(1);
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
        /// The keepers that had too few tokens, and until when they are not asked again.
        empty_keepers: BTreeMap<HostId, Monotonic>,
        /// The position of the keeper of another failure domain that is asked first.
        first_other: usize,
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

    /// What the latest answer with too few tokens said.
    struct Shortage {
        interval: Duration,
        retry_at: Monotonic,
        /// When a token is due, once no keeper is left to be asked.
        next_at: Option<Monotonic>,
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
    pub fn step(&mut self, now: Monotonic, keepers: &mut PartitionSources) -> Vec<QuotaAction> {
        let mut actions = Vec::new();
        self.expire(now);
        self.admit(&mut actions);
        self.request(now, keepers, &mut actions);
        self.refuse(now, &mut actions);
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
    pub fn note_answer(
        &mut self,
        now: Monotonic,
        number: u64,
        host: &HostId,
        answer: TokenAnswer,
        keepers: &mut PartitionSources,
    ) {
        let request = self
            .request
            .take_if(|request| request.number == number && request.host == *host);
        let Some(request) = request else {
            return;
        };
        keepers.sources.note_answered(&request.host);
        self.ask_at = now;
        match answer {
            TokenAnswer::Granted(grant) => self.note_grant(now, &request, &grant, keepers),
            TokenAnswer::NotKeeper(keeper) => keepers.note_not_keeper(now, &request.host, keeper),
        }
    }

    fn note_grant(
        &mut self,
        now: Monotonic,
        request: &InFlight,
        grant: &TokenGrant,
        keepers: &PartitionSources,
    ) {
        self.batches.push_back(TokenBatch {
            count: grant.tokens,
            expires_at: request.sent_at + TOKEN_LIFETIME,
        });
        if grant.tokens >= request.tokens {
            self.empty_keepers.remove(&request.host);
            self.shortage = None;
            return;
        }
        let pause = if keepers.is_own_keeper(&request.host) {
            grant.next_in.max(MIN_PAUSE)
        } else {
            self.first_other = self.first_other.wrapping_add(1);
            grant.next_in.max(OTHER_KEEPER_PAUSE)
        };
        let host = request.host.clone();
        self.empty_keepers.insert(host, now + pause);
        self.shortage = Some(Shortage {
            interval: grant.interval,
            retry_at: now + grant.retry_in,
            next_at: None,
        });
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
        let shortage = self.shortage.as_ref();
        let mut due_at = shortage.and_then(|shortage| shortage.next_at);
        let interval = shortage.map(|shortage| shortage.interval);
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
        keepers: &mut PartitionSources,
        actions: &mut Vec<QuotaAction>,
    ) {
        self.note_silence(now, keepers);
        let tokens = self.wanted();
        if self.request.is_some() || tokens == 0 || now < self.ask_at {
            return;
        }
        let Some(host) = self.next_keeper(now, keepers) else {
            self.expected = 0;
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
            },
        });
    }

    // Returns the keeper to ask, or notes when to ask again.
    fn next_keeper(&mut self, now: Monotonic, keepers: &mut PartitionSources) -> Option<HostId> {
        self.empty_keepers.retain(|_, until| now < *until);
        let empty = &self.empty_keepers;
        let next = keepers.next(now, self.first_other, |host| empty.contains_key(host));
        let first_due = self.empty_keepers.values().min().copied();
        match next {
            NextSource::Ask(host) => return Some(host),
            NextSource::AllEmpty => {
                let ask_at = first_due.unwrap_or(now + MIN_PAUSE);
                self.ask_at = ask_at;
                if let Some(shortage) = &mut self.shortage {
                    shortage.next_at = Some(ask_at);
                }
            }
            NextSource::SomeSilent => {
                self.shortage = None;
                self.ask_at = now + MIN_PAUSE;
            }
        }
        None
    }

    fn note_silence(&mut self, now: Monotonic, keepers: &mut PartitionSources) {
        let request = self
            .request
            .take_if(|request| now >= request.sent_at + ANSWER_TIMEOUT);
        if let Some(request) = request {
            keepers
                .sources
                .note_silent(now, &request.host, request.sent_at);
            self.ask_at = now;
        }
    }

    fn wanted(&self) -> u32 {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        waiting.max(self.expected)
    }
}
