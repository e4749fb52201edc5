//! Durations and limits of a group's failover.

use std::time::Duration;

use crate::authority::Authority;
use crate::backoff::Backoff;
use crate::value_type;

value_type! {
    /// The settings of a [`Failover`](super::Failover); see docs/notes/failover.md.
    pub struct FailoverSettings {
        /// The interval between probes of the primary while traffic does not prove it alive.
        pub probe_interval: Duration,
        /// How long the host waits for the answer to a probe.
        pub probe_timeout: Duration,
        /// The interval between probes of the other instances while the primary is alive.
        pub sample_interval: Duration,
        /// The interval at which watchers other than the first probe the primary of a quiet group.
        pub quiet_probe_interval: Duration,
        /// The interval between probes of the other instances of a quiet group.
        pub quiet_sample_interval: Duration,
        /// How long a group counts as in use after this host's traffic used it.
        pub traffic_lifetime: Duration,
        /// How long the primary must have shown no sign of life before it is suspected.
        pub suspect_after: Duration,
        /// How many probes must have failed since the last sign of life before the primary is
        /// suspected.
        pub suspect_failures: u32,
        /// The minimum interval between repeated suspicions, liveness answers or announcements.
        pub share_interval: Duration,
        /// How long another host's suspicion counts.
        pub suspicion_lifetime: Duration,
        /// The extra delay before acting, per suspecting watcher that ranks before this one.
        pub rank_delay: Duration,
        /// How long the primary must have shown no sign of life before a host acts without a
        /// suspicion from another failure domain. The host must also reach a majority of the
        /// instances without the primary.
        pub single_domain_delay: Duration,
        /// How long a proof of a term is valid, and thus how long a promotion waits.
        pub authority: Authority,
        /// How long the platform's key-value service may take to record an attempt.
        pub record_timeout: Duration,
        /// How long a planned change waits for the fences of its two instances.
        pub fence_timeout: Duration,
        /// How long an instance may take to catch up before the one with the most advanced log is
        /// promoted instead.
        pub catch_up_timeout: Duration,
        /// How long a promotion may go unanswered before the attempt fails.
        pub promote_timeout: Duration,
        /// The interval after which an unanswered action is sent again.
        pub resend_interval: Duration,
        /// The time limit of a whole attempt.
        pub attempt_timeout: Duration,
        /// How long a host holds back after it sees another host's attempt.
        pub attempt_grace: Duration,
        /// The delay between failed attempts.
        pub backoff: Backoff,
        /// The settings of planned changes.
        pub change: ChangeSettings,
    }

    /// The durations and limits of planned changes of primary, which operators request directly or
    /// through the configuration.
    pub struct ChangeSettings {
        /// How long an operator's request is tried before it is dropped.
        pub request_lifetime: Duration,
        /// The minimum time between changes that the configuration asks for.
        pub min_interval: Duration,
        /// How long the configured change must have been wanted, with its instance ready, before it
        /// starts.
        pub settle: Duration,
        /// How long a leaving primary must have had no open transaction before it is replaced.
        pub leaving_settle: Duration,
        /// How long a leaving primary's open transactions may take to end.
        pub leaving_grace: Duration,
        /// The interval at which a leaving primary is asked for its open transactions.
        pub leaving_probe_interval: Duration,
        /// How long an instance may be fenced above the current term before the primary takes a new
        /// term, so that the instance can follow again.
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
            quiet_probe_interval: Duration::from_secs(3),
            quiet_sample_interval: Duration::from_secs(20),
            traffic_lifetime: Duration::from_secs(10),
            suspect_after: Duration::from_millis(700),
            suspect_failures: 2,
            share_interval: Duration::from_millis(200),
            suspicion_lifetime: Duration::from_millis(1500),
            rank_delay: Duration::from_millis(150),
            single_domain_delay: Duration::from_secs(5),
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
            request_lifetime: Duration::from_secs(10),
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
