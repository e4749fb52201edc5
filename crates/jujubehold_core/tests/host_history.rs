//! Whom a restarted host asks which hosts were listed before it started.

use std::time::Duration;

use jujubehold_core::host_history::HostHistoryQuestions;
use jujubehold_core::lead_proof::{LeadProof, LeadProofSettings};
use jujubehold_core::prelude::*;

/// How often each host reads the list.
const READ_INTERVAL: Duration = Duration::from_millis(800);
/// How many reads each host makes between the restarts of two hosts.
const READS_PER_RESTART: usize = 3;

struct SimulatedHost {
    name: HostId,
    revision: u64,
    proof: LeadProof,
    questions: HostHistoryQuestions,
}

impl SimulatedHost {
    fn new(name: HostId, revision: u64, is_first_start: bool) -> Self {
        let mut proof = LeadProof::new(LeadProofSettings::default(), is_first_start);
        proof.note_listed_until(Duration::from_hours(1));
        Self {
            name,
            revision,
            proof,
            questions: HostHistoryQuestions::default(),
        }
    }
}

// The load: eight hosts that are restarted one after another within less time than a host may be
// unknown. Guards against a change of primary that then waits for hosts that do not exist.
#[test]
fn hosts_that_are_restarted_in_turn_know_all_hosts_throughout() {
    let mut hosts: Vec<_> = (1..=8)
        .map(|number| SimulatedHost::new(format!("host-{number}").into(), number, true))
        .collect();
    let mut now = Monotonic::ZERO;
    for restarted in 0..hosts.len() {
        for _ in 0..READS_PER_RESTART {
            now += READ_INTERVAL;
            read(&mut hosts, now);
        }
        let known = hosts.iter().filter(|host| host.proof.knows_all_hosts(now));
        assert_eq!(known.count(), hosts.len(), "after {restarted} restarts");
        // Later than those of all other hosts.
        let revision = hosts[restarted].revision + 8;
        let name = hosts[restarted].name.clone();
        hosts[restarted] = SimulatedHost::new(name, revision, false);
    }
}

fn read(hosts: &mut [SimulatedHost], now: Monotonic) {
    for host in hosts.iter_mut() {
        host.proof.note_read(now);
    }
    for index in 0..hosts.len() {
        ask(hosts, index, now);
    }
}

fn ask(hosts: &mut [SimulatedHost], index: usize, now: Monotonic) {
    let listed: Vec<_> = hosts
        .iter()
        .map(|host| (host.name.clone(), host.revision))
        .collect();
    let host = &mut hosts[index];
    if !host.proof.needs_complete_list(now) {
        return;
    }
    let listed = listed.iter().map(|(host, revision)| (host, *revision));
    let asked = host.questions.next_host(now, &host.name, listed);
    let is_known = hosts
        .iter()
        .any(|host| Some(&host.name) == asked.as_ref() && host.proof.knows_all_hosts(now));
    if is_known {
        hosts[index].proof.note_complete_list(now);
    }
}

#[test]
fn hosts_are_asked_in_turn_beginning_with_the_one_listed_longest() {
    let names: Vec<HostId> = ["a", "b", "c"].iter().map(|name| (*name).into()).collect();
    let listed = || names.iter().zip([7, 3, 5]);
    let mut questions = HostHistoryQuestions::default();
    let mut ask = |second| questions.next_host(Duration::from_secs(second), &names[0], listed());
    assert_eq!(ask(1).as_deref(), Some("b"));
    assert_eq!(ask(1), None);
    assert_eq!(ask(2).as_deref(), Some("c"));
    assert_eq!(ask(3).as_deref(), Some("b"));
}

#[test]
fn a_host_that_is_alone_asks_nobody() {
    let own = HostId::from("a");
    let mut questions = HostHistoryQuestions::default();
    let listed = [(&own, 1)].into_iter();
    assert_eq!(
        questions.next_host(Duration::from_secs(1), &own, listed),
        None
    );
}
