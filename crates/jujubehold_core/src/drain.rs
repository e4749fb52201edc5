//! The draining of a host: it stops without interrupting requests that are in flight.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// The part of the timeout after which requests that still run are answered, in percent. The rest is
/// for writing the answers.
const ANSWER_PERCENT: u32 = 95;

/// How long writing the answers may take even if the timeout is over, as after a timeout that is shorter
/// than the notice period.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(200);

value_type! {
    /// The settings of a host's drain.
    pub struct DrainSettings {
        /// How long the host still accepts requests after it announced that it leaves, so that the
        /// balancer and the peers stop sending first.
        pub notice_period: Duration,
        /// How long requests in flight may take to finish; `None` waits without limit.
        pub timeout: Option<Duration>,
    }

    /// An event during a host's drain.
    pub enum DrainEvent {
        /// The operator or the platform requested the drain.
        Requested,
        /// The number of requests or lent connections in flight changed.
        InFlight {
            /// Requests and transactions that run or wait.
            requests: usize,
            /// Connections that are lent to peers.
            lent: usize,
        },
        /// Time passed.
        Tick,
    }

    /// What a draining host has to do.
    pub enum DrainAction {
        /// Announce to the peers and in the platform's list that the host leaves.
        NotifyPeers,
        /// Close the listener and the idle sessions.
        StopAccepting,
        /// End each session as soon as it is between transactions.
        EndIdleSessions,
        /// Close the pooled connections, so that the new owners can open theirs.
        ClosePooledConnections,
        /// Answer the requests that still run, and roll back open transactions: there is too little time
        /// left to wait for the upstreams.
        AnswerRequests,
        /// End the process; nothing is in flight.
        Exit,
        /// End the process although callers have not read their answers.
        ExitOverdue,
    }

    /// The drain of one host.
    pub struct Drain {
        settings: DrainSettings,
        state: DrainState,
        requests: usize,
        lent: usize,
        /// Since when the requests that still ran are answered.
        answering_since: Option<Monotonic>,
    }
}

crate::key_type! {
    /// The state of a host's drain.
    pub enum DrainState {
        /// The host is not draining.
        Serving,
        /// The host announced at `since` that it leaves, and still accepts requests.
        Announced {
            /// The time of the announcement.
            since: Monotonic,
        },
        /// The host accepts no new requests and waits for those in flight.
        Finishing {
            /// The time of the announcement.
            since: Monotonic,
        },
        /// The drain is over; the host may exit.
        Done,
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            notice_period: Duration::from_secs(1),
            timeout: None,
        }
    }
}

impl Drain {
    /// Creates the drain of a host that is serving.
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            state: DrainState::Serving,
            requests: 0,
            lent: 0,
            answering_since: None,
        }
    }

    /// Returns the state of the drain.
    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Returns whether the host accepts new requests.
    pub fn is_accepting(&self) -> bool {
        match self.state {
            DrainState::Serving | DrainState::Announced { .. } => true,
            DrainState::Finishing { .. } | DrainState::Done => false,
        }
    }

    /// Handles an event and returns the actions to take.
    pub fn on_event(&mut self, now: Monotonic, event: &DrainEvent) -> Vec<DrainAction> {
        match event {
            DrainEvent::Requested => {
                if self.state == DrainState::Serving {
                    self.state = DrainState::Announced { since: now };
                    return vec![DrainAction::NotifyPeers];
                }
            }
            DrainEvent::InFlight { requests, lent } => {
                self.requests = *requests;
                self.lent = *lent;
            }
            DrainEvent::Tick => {}
        }
        self.advance(now)
    }

    fn advance(&mut self, now: Monotonic) -> Vec<DrainAction> {
        let mut actions = Vec::new();
        if let DrainState::Announced { since } = self.state
            && now.saturating_sub(since) >= self.settings.notice_period
        {
            self.state = DrainState::Finishing { since };
            actions.extend([DrainAction::StopAccepting, DrainAction::EndIdleSessions]);
        }
        let DrainState::Finishing { since } = self.state else {
            return actions;
        };
        if self.requests == 0 && self.lent == 0 {
            self.state = DrainState::Done;
            actions.extend([DrainAction::ClosePooledConnections, DrainAction::Exit]);
            return actions;
        }
        let Some(timeout) = self.settings.timeout else {
            return actions;
        };
        let elapsed = now.saturating_sub(since);
        let Some(answering_since) = self.answering_since else {
            if elapsed >= timeout * ANSWER_PERCENT / 100 {
                self.answering_since = Some(now);
                actions.push(DrainAction::AnswerRequests);
            }
            return actions;
        };
        if elapsed >= timeout && now.saturating_sub(answering_since) >= MIN_ANSWER_TIME {
            self.state = DrainState::Done;
            actions.push(DrainAction::ExitOverdue);
        }
        actions
    }
}
