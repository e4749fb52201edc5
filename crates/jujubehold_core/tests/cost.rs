//! Measures the time that events cost; run with `--release -- --nocapture` to see the figures.
//!
//! The figures are printed but not checked, since they depend on the machine. The tests check only
//! that each run did its work.

mod support;

use std::time::Instant;

use jujubehold_core::admission::{Admission, AdmissionRequest, AdmissionSettings, RequestClass};
use jujubehold_core::authority::Authority;
use jujubehold_core::failover::{Failover, FailoverSettings};
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::membership::{
    Member, MemberState, Membership, MembershipEvent, MembershipSettings,
};
use jujubehold_core::ownership::{OWNERS_PER_INSTANCE, owners};
use jujubehold_core::read_candidates::{ReadContext, read_candidates};
use jujubehold_core::read_policy::ReadNeed;
use jujubehold_core::session_floor::FloorKnowledge;

use support::{config, ms, status};

/// Runs `work` `rounds` times, prints its mean time, and returns the sum of its results.
fn measure(name: &str, rounds: u64, mut work: impl FnMut(u64) -> usize) -> usize {
    let start = Instant::now();
    let sum = (0..rounds).map(&mut work).sum();
    let mean_ns = start.elapsed().as_nanos() / u128::from(rounds);
    println!("{name}: {mean_ns} ns");
    sum
}

fn failover_with_probed_group() -> Failover {
    let settings = FailoverSettings::default();
    let mut failover = Failover::new(settings, &config(), "h1".into(), "delta".into(), 7);
    for (name, role) in [("a", "primary"), ("b", "replica"), ("c", "replica")] {
        failover.on_event(ms(0), probed(name, role, 0));
    }
    failover
}

fn probed(name: &str, role: &str, at_ms: u64) -> FailoverEvent {
    FailoverEvent::Probed {
        instance: name.into(),
        sent_at: ms(at_ms),
        status: Some(status(name, role, 1, at_ms, "1:0")),
    }
}

#[test]
fn cost_of_failover_events() {
    let mut failover = failover_with_probed_group();
    let probes = measure("failover tick of a healthy group", 20_000, |round| {
        let actions = failover.on_event(ms(round * 50), FailoverEvent::Tick);
        actions.len()
    });
    assert!(probes > 0);
    let mut failover = failover_with_probed_group();
    let answers: Vec<_> = (0..2000).map(|n| probed("a", "primary", n * 50)).collect();
    let mut answers = answers.into_iter();
    measure(
        "failover event with an answer of the primary",
        2000,
        |round| {
            let event = answers.next().expect("there is one answer for each round");
            failover.on_event(ms(round * 50 + 5), event).len()
        },
    );
    assert_eq!(failover.view().primary.as_deref(), Some("a"));
}

#[test]
fn cost_of_read_decisions() {
    let failover = failover_with_probed_group();
    let config = config();
    let context = ReadContext {
        domain: "gulf".into(),
        region: "south".into(),
        now: ms(10),
        avoided: std::collections::BTreeSet::new(),
        max_catch_up_wait: std::time::Duration::ZERO,
        spread_seed: 1,
    };
    let need = ReadNeed::new(&config, FloorKnowledge::NoWrites, ms(10));
    let found = measure("ranking the candidates of a read", 20_000, |_| {
        read_candidates(&config, failover.view(), &need, &context).len()
    });
    assert_eq!(found, 60_000);
    let answer = status("b", "replica", 1, 0, "1:0");
    let authority = Authority::default();
    measure("judging an answer", 20_000, |_| {
        let judgement = need.judge(&config, failover.view(), &authority, ms(10), &answer);
        usize::from(judgement == jujubehold_core::read_policy::ReadJudgement::Serve)
    });
}

#[test]
fn cost_of_an_offer_and_its_release() {
    let mut admission = Admission::new(AdmissionSettings::default());
    let mut running = std::collections::VecDeque::new();
    let started = measure("offer and release with 40 waiting", 20_000, |round| {
        let now = ms(round);
        let request = AdmissionRequest {
            ticket: round,
            caller: format!("c{}", round % 9).into(),
            class: RequestClass::Lookup,
            deadline: now + ms(1900),
        };
        let offered = admission.offer(now, request);
        if offered.decision == Ok(jujubehold_core::admission::Admitted::Start) {
            running.push_back(round);
        }
        if admission.waiting_count() < 40 {
            return 0;
        }
        let ended = running.pop_front().expect("all slots are in use");
        let released = admission.release(now, ended);
        running.extend(&released.started);
        released.started.len()
    });
    assert!(started > 10_000);
}

#[test]
fn cost_of_a_membership_of_2400_hosts() {
    let member = |number: u16, domain: &str| Member {
        host: format!("host-{number}").into(),
        domain: domain.into(),
        region: "south".into(),
        peer_address: ([10, 0, 0, 1], 1024 + number).into(),
        incarnation: 1,
        state: MemberState::Alive,
    };
    let settings = MembershipSettings::default();
    let mut membership = Membership::new(settings, member(0, "delta"), Vec::new(), 1);
    let hosts = (1..2400)
        .map(|number| match number % 26 {
            0 => member(number, "delta"),
            other => member(number, &format!("domain-{other}")),
        })
        .collect();
    membership.on_event(ms(0), MembershipEvent::PeerStateReceived { hosts });
    let sent = measure("membership tick among 92 hosts", 2000, |round| {
        membership
            .on_event(ms(round * 50), MembershipEvent::Tick)
            .len()
    });
    assert!(sent > 0);
    let hosts = membership.live_hosts();
    let found = measure(
        "picking the owners of an instance among 92 hosts",
        2000,
        |round| {
            owners(
                &format!("service-{round}/a"),
                &hosts["domain-1"],
                OWNERS_PER_INSTANCE,
            )
            .len()
        },
    );
    assert_eq!(found, 4000);
}
