//! How long each part of a failover took.

use std::time::Duration;

use crate::value_type;

value_type! {
    /// The parts of the last run that this host brought to its end.
    #[derive(Copy, Default)]
    pub struct Phases {
        /// From the last proof of life to the start of the attempt; zero for an ordered change.
        pub detect: Duration,
        /// Until the platform's service had recorded the attempt, or was given up on.
        pub agree: Duration,
        /// Until a majority was fenced and the new primary chosen.
        pub fence: Duration,
        /// Until every window of the old term had lapsed and the new primary had caught up.
        pub wait: Duration,
        /// Until the promotion was answered.
        pub promote: Duration,
        /// Until the new primary first gave proof of life to a probe or to traffic.
        pub announce: Duration,
    }
}

impl Phases {
    /// The parts by name, in their order.
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

    /// The whole run.
    pub fn total(&self) -> Duration {
        self.parts().iter().map(|(_, duration)| *duration).sum()
    }
}
