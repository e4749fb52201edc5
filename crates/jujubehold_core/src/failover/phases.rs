//! Durations of the phases of a failover.

use std::time::Duration;

use crate::value_type;

value_type! {
    /// The phase durations of the last failover or change that this host completed.
    #[derive(Copy, Default)]
    pub struct Phases {
        /// From the last sign of life to the start of the attempt; zero for a planned change.
        pub detect: Duration,
        /// Until the platform's key-value service recorded the attempt, or this host stopped
        /// waiting for it.
        pub agree: Duration,
        /// Until a majority was fenced and the new primary was chosen.
        pub fence: Duration,
        /// Until every window of the old term had expired and the new primary had caught up.
        pub wait: Duration,
        /// Until the promotion was answered.
        pub promote: Duration,
        /// Until the new primary first proved that it was alive, to a probe or to traffic.
        pub announce: Duration,
    }
}

impl Phases {
    /// Returns the phases' names and durations, in order.
    pub fn parts(&self) -> [(&'static str, Duration); 6] {
        [
            ("detect", self.detect),
            ("agree", self.agree),
            ("fence", self.fence),
            ("wait", self.wait),
            ("promote", self.promote),
            ("announce", self.announce),
        ]
    }

    /// Returns the total duration.
    pub fn total(&self) -> Duration {
        self.parts().iter().map(|(_, duration)| *duration).sum()
    }
}
