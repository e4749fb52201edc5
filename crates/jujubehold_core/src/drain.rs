//! How a host leaves without cutting anything.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

value_type! {
    /// The limits of a leaving host.
    pub struct DrainSettings {
        /// How long a host still takes requests after it told others that it leaves, so that the
        /// balancer and the peers stop sending first.
        pub notice: Duration,
        /// How long what runs may take; `None` waits without limit.
        pub limit: Option<Duration>,
    }

    /// An event of a leaving host.
    pub enum DrainEvent {
        /// The operator or the platform asked the host to leave.
        Asked,
        /// The count of what is in flight changed.
        InFlight {
            /// Requests and transactions that run or wait.
            requests: usize,
            /// Connections that are lent to peers.
            lent: usize,
        },
        /// Time passed.
        Tick,
    }

    /// What a leaving host does.
    pub enum DrainAction {
        /// Tell the peers and the platform's list that the host leaves.
        TellPeers,
        /// Close the listener and the sessions that are idle.
        StopAccepting,
        /// End a session as soon as it is between transactions.
        EndIdleSessions,
        /// Close the pooled connections, so that the new owners may open theirs.
        HandOver,
        /// End the process; nothing is in flight.
        Exit,
        /// End the process although something is in flight, which the verdicts tell.
        ExitOverdue,
    }

    /// The leaving of one host.
    pub struct Drain {
        settings: DrainSettings,
        state: DrainState,
        requests: usize,
        lent: usize,
    }
}

crate::key_type! {
    /// How far a host's leaving has come.
    pub enum DrainState {
        /// The host serves.
        Serving,
        /// The host told others at `since`, and still takes requests.
        Noticed {
            /// When it told them.
            since: Monotonic,
        },
        /// The host takes nothing new.
        Finishing {
            /// When it told others.
            since: Monotonic,
        },
        /// The host may exit.
        Done,
    }
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            notice: Duration::from_secs(1),
            limit: None,
        }
    }
}

impl Drain {
    /// A host that serves.
    pub fn new(settings: DrainSettings) -> Self {
        Self {
            settings,
            state: DrainState::Serving,
            requests: 0,
            lent: 0,
        }
    }

    /// How far the leaving has come.
    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Whether the host takes new requests.
    pub fn is_accepting(&self) -> bool {
        match self.state {
            DrainState::Serving | DrainState::Noticed { .. } => true,
            DrainState::Finishing { .. } | DrainState::Done => false,
        }
    }

    /// Takes in an event and says what to do.
    pub fn on_event(&mut self, now: Monotonic, event: &DrainEvent) -> Vec<DrainAction> {
        match event {
            DrainEvent::Asked => {
                if self.state == DrainState::Serving {
                    self.state = DrainState::Noticed { since: now };
                    return vec![DrainAction::TellPeers];
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
        if let DrainState::Noticed { since } = self.state
            && now.saturating_sub(since) >= self.settings.notice
        {
            self.state = DrainState::Finishing { since };
            actions.extend([DrainAction::StopAccepting, DrainAction::EndIdleSessions]);
        }
        let DrainState::Finishing { since } = self.state else {
            return actions;
        };
        if self.requests == 0 && self.lent == 0 {
            self.state = DrainState::Done;
            actions.extend([DrainAction::HandOver, DrainAction::Exit]);
            return actions;
        }
        let is_overdue = self
            .settings
            .limit
            .is_some_and(|limit| now.saturating_sub(since) >= limit);
        if is_overdue {
            self.state = DrainState::Done;
            actions.push(DrainAction::ExitOverdue);
        }
        actions
    }
}
