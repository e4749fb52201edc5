//! Injects two failures at once: every pair of failures, in an order drawn from a fixed seed.
//!
//! `JUJUBEHOLD_PROOF_ROUNDS` sets the number of pairs and `JUJUBEHOLD_PROOF_SEED` the order. 55
//! rounds cover each pair once.

use std::time::Duration;

use jujubehold_faults::LinkFaults;
use jujubehold_standin::platform::Outage;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::harness::{Installation, Layout, NamedLoad, RequestKind, Workload, check_completed};

const DEFAULT_ROUNDS: u64 = 3;
const DEFAULT_SEED: u64 = 1;
/// How long a pair of failures lasts.
const FAILURE_TIME: Duration = Duration::from_millis(1500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    KillPrimary,
    StallPrimary,
    ResetPrimary,
    DelayReplica,
    LagReplicas,
    PlatformOut,
    PlatformLosesAnswers,
    FreezeHost,
    CutHosts,
    DisturbHosts,
}

impl Failure {
    const ALL: [Self; 10] = [
        Self::KillPrimary,
        Self::StallPrimary,
        Self::ResetPrimary,
        Self::DelayReplica,
        Self::LagReplicas,
        Self::PlatformOut,
        Self::PlatformLosesAnswers,
        Self::FreezeHost,
        Self::CutHosts,
        Self::DisturbHosts,
    ];

    fn begin(self, installation: &Installation, primary: &str) {
        let faults = &installation.faults;
        match self {
            Self::KillPrimary => installation.databases[primary].kill(),
            Self::StallPrimary => faults.stall(primary).expect("the route exists"),
            Self::ResetPrimary => faults.reset(primary).expect("the route exists"),
            Self::DelayReplica => {
                let delay = Duration::from_millis(80);
                let late = LinkFaults {
                    delay,
                    jitter: delay,
                    ..LinkFaults::default()
                };
                faults.set_both("c", &late).expect("the route exists");
            }
            Self::LagReplicas => {
                for database in installation.databases.values() {
                    database.set_apply_lag(Duration::from_millis(700));
                }
            }
            Self::PlatformOut => installation.platform.set_outage(Outage::Hang),
            Self::PlatformLosesAnswers => installation.platform.lose_answers(5),
            Self::FreezeHost => installation.hosts[1].freeze(),
            Self::CutHosts => installation.cut_between_hosts(),
            Self::DisturbHosts => {
                let disturbed = LinkFaults {
                    jitter: Duration::from_millis(60),
                    loss_per_mille: 200,
                    duplicate_per_mille: 300,
                    ..LinkFaults::default()
                };
                installation.set_between_hosts(&disturbed);
            }
        }
    }

    fn end(self, installation: &Installation, primary: &str) {
        let faults = &installation.faults;
        match self {
            Self::KillPrimary => installation.databases[primary].revive(),
            Self::StallPrimary => faults.heal(primary).expect("the route exists"),
            Self::ResetPrimary => {}
            Self::DelayReplica => faults.heal("c").expect("the route exists"),
            Self::LagReplicas => {
                for database in installation.databases.values() {
                    database.set_apply_lag(Duration::ZERO);
                }
            }
            Self::PlatformOut => installation.platform.set_outage(Outage::None),
            Self::PlatformLosesAnswers => installation.platform.lose_answers(0),
            Self::FreezeHost => installation.hosts[1].resume(),
            Self::CutHosts | Self::DisturbHosts => {
                installation.set_between_hosts(&LinkFaults::default());
            }
        }
    }
}

fn number_from_env(variable: &str, default: u64) -> u64 {
    std::env::var(variable)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Returns every pair of failures, including each failure with itself, in a new random order.
fn all_pairs(random: &mut StdRng) -> Vec<[Failure; 2]> {
    let pairs = Failure::ALL.iter().enumerate();
    let mut pairs: Vec<_> = pairs
        .flat_map(|(index, first)| Failure::ALL[index..].iter().map(|second| [*first, *second]))
        .collect();
    pairs.shuffle(random);
    pairs
}

/// Injects each pair of failures for a while, and waits after each until `writes_go_on` returns.
async fn run_pairs(installation: &Installation, writes_go_on: impl AsyncFn()) {
    let seed = number_from_env("JUJUBEHOLD_PROOF_SEED", DEFAULT_SEED);
    let rounds = number_from_env("JUJUBEHOLD_PROOF_ROUNDS", DEFAULT_ROUNDS);
    let mut random = StdRng::seed_from_u64(seed);
    let mut pairs = Vec::new();
    for round in 0..rounds {
        if pairs.is_empty() {
            pairs = all_pairs(&mut random);
        }
        let pair = pairs.pop().expect("there are pairs");
        eprintln!("seed {seed} round {round}: {pair:?}");
        let primary = installation.primary();
        for failure in pair {
            failure.begin(installation, primary);
        }
        tokio::time::sleep(FAILURE_TIME).await;
        for failure in pair {
            failure.end(installation, primary);
        }
        writes_go_on().await;
    }
}

#[actix_rt::test]
async fn pairs_of_failures_break_no_promise() {
    let installation = Installation::start(Layout::default()).await;
    let workload = Workload::start(6, &installation.caller_addresses());
    workload.wait_for(20).await;
    run_pairs(&installation, async || workload.wait_for(10).await).await;
    let report = workload.stop().await;
    report.check(&installation.row_counts().await);
}

#[actix_rt::test]
async fn pairs_of_failures_run_no_named_request_twice() {
    let installation = Installation::start(Layout::default()).await;
    let addresses = installation.caller_addresses();
    let load = NamedLoad::start(6, &addresses, RequestKind::Statement);
    load.wait_for(20).await;
    run_pairs(&installation, async || load.wait_for(10).await).await;
    let completed = load.stop().await;
    check_completed(&completed, &installation.row_counts().await);
}
