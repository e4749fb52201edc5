//! The times and limits of a group's failover.

use std::time::Duration;

use crate::authority::Authority;
use crate::backoff::Backoff;
use crate::value_type;

value_type! {
    /// The settings of a [`Failover`](super::Failover); see docs/notes/failover.md.
    pub struct FailoverSettings {
        /// How often the primary is probed where traffic does not prove it alive.
        pub probe_interval: Duration,
        /// How long the host waits for an answer to a probe.
        pub probe_timeout: Duration,
        /// How often the other instances are probed while the primary is alive.
        pub sample_interval: Duration,
        /// How often the primary of a quiet group is probed by watchers other than the first.
        pub far_probe_interval: Duration,
        /// How often the other instances of a quiet group are probed.
        pub quiet_sample_interval: Duration,
        /// For how long after this host's traffic used a group the group is not quiet.
        pub traffic_lifetime: Duration,
        /// How long the primary must have given no proof of life before it is suspected.
        pub suspect_after: Duration,
        /// How many probes must have failed since the last proof of life.
        pub suspect_failures: u32,
        /// How often a suspicion, a proof of life or an announcement is told again.
        pub share_interval: Duration,
        /// How long another host's suspicion counts.
        pub suspicion_lifetime: Duration,
        /// How much longer each further host of the suspecting ones waits before it acts.
        pub rank_delay: Duration,
        /// How long a host waits that hears no watcher of another failure domain, and reaches a
        /// majority of the instances without the primary.
        pub lone_after: Duration,
        /// How long a term's proof counts, and so how long a promotion waits.
        pub authority: Authority,
        /// How long the platform's service may take to record an attempt.
        pub record_timeout: Duration,
        /// How long an ordered change waits for the fences of its two instances.
        pub fence_timeout: Duration,
        /// How long an instance may take to catch up before the one ahead is promoted itself.
        pub catch_up_timeout: Duration,
        /// How long a promotion may go unanswered before another attempt is made.
        pub promote_timeout: Duration,
        /// When an unanswered action is sent again.
        pub resend_interval: Duration,
        /// How long an attempt may take in all.
        pub attempt_timeout: Duration,
        /// How long a host holds back when it sees another's attempt.
        pub attempt_grace: Duration,
        /// The wait between attempts that failed.
        pub backoff: Backoff,
        /// When the primary is changed by order.
        pub change: ChangeSettings,
    }

    /// The limits of a change of primary that the operators asked for.
    pub struct ChangeSettings {
        /// How long an order is tried before it is dropped.
        pub order_lifetime: Duration,
        /// The least time between changes that the configuration asks for.
        pub min_interval: Duration,
        /// How long the wish must have stood, and the instance answered, before the change.
        pub settle: Duration,
        /// How long a leaving primary must have had no open transaction before it is replaced.
        pub leaving_settle: Duration,
        /// How long a leaving primary's open transactions may take to end.
        pub leaving_grace: Duration,
        /// How often a leaving primary is asked for its open transactions.
        pub leaving_probe_interval: Duration,
        /// How long an instance may be fenced past the present term before the primary takes a new
        /// one, so that the instance can follow again.
        pub stranded_after: Duration,
        /// How many positions the instance may be behind when the change starts.
        pub max_lag: u64,
    }
}

impl Default for FailoverSettings {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(300),
            sample_interval: Duration::from_secs(1),
            far_probe_interval: Duration::from_secs(3),
            quiet_sample_interval: Duration::from_secs(20),
            traffic_lifetime: Duration::from_secs(10),
            suspect_after: Duration::from_millis(700),
            suspect_failures: 2,
            share_interval: Duration::from_millis(200),
            suspicion_lifetime: Duration::from_millis(1500),
            rank_delay: Duration::from_millis(150),
            lone_after: Duration::from_secs(5),
            authority: Authority::default(),
            record_timeout: Duration::from_millis(300),
            fence_timeout: Duration::from_millis(300),
            catch_up_timeout: Duration::from_secs(1),
            promote_timeout: Duration::from_millis(600),
            resend_interval: Duration::from_millis(150),
            attempt_timeout: Duration::from_secs(3),
            attempt_grace: Duration::from_secs(1),
            backoff: Backoff {
                base: Duration::from_millis(200),
                limit: Duration::from_secs(2),
            },
            change: ChangeSettings::default(),
        }
    }
}

impl Default for ChangeSettings {
    fn default() -> Self {
        Self {
            order_lifetime: Duration::from_secs(10),
            min_interval: Duration::from_secs(10),
            settle: Duration::from_secs(2),
            leaving_settle: Duration::from_millis(200),
            leaving_grace: Duration::from_secs(2),
            leaving_probe_interval: Duration::from_millis(50),
            stranded_after: Duration::from_secs(5),
            max_lag: 1000,
        }
    }
}
