//! Tests what one host's read of the store proves to another, and which host is asked.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_core::proof_sharing::{
    ProofSharingSettings, ProofSources, SharedRead, SharedReadCheck, SharedReadFault, happened_at,
};
use jujubehold_core::store_version::StoreVersion;
use jujubehold_core::watch_pace::{WatchPace, WatchProgress};

fn ms(value: u64) -> Monotonic {
    Duration::from_millis(value)
}

const TABLE: StoreVersion = StoreVersion {
    era: 2,
    revision: 40,
};

const READ: SharedRead = SharedRead {
    age: Duration::from_millis(700),
    era: 2,
    revision: 50,
    table: TABLE,
    hosts_digest: 7,
};

const CHECK: SharedReadCheck = SharedReadCheck {
    sent_at: Duration::from_secs(10),
    era: 2,
    own_key_revision: 30,
    listed_revision: Some(30),
    table: TABLE,
    hosts_digest: 7,
};

#[test]
fn the_age_of_a_read_is_subtracted_from_the_time_of_the_request() {
    let sent_at = READ.sent_at(&CHECK).expect("the read is usable");
    assert!(sent_at <= ms(9_299), "{sent_at:?}");
    assert!(sent_at >= ms(9_290), "{sent_at:?}");
}

// However long the answer took and whatever the clocks of both hosts show, the computed time is no
// later than the read: the answering host computes the age after the request arrived.
#[test]
fn no_delay_makes_a_read_seem_younger_than_it_is() {
    for read_at in [0, 400, 3_000] {
        for delay in [0, 20, 900] {
            for sent_at in [read_at, read_at + 100, read_at + 1_100] {
                let answered_at = sent_at + delay;
                let age = ms(answered_at).saturating_sub(ms(read_at));
                assert!(happened_at(ms(sent_at), age) <= ms(read_at));
            }
        }
    }
}

// A host that announced a change after the read and before this host joined asks only the hosts
// that were listed then, so the read must not extend this host's proof.
#[test]
fn a_read_from_before_this_host_joined_proves_nothing() {
    let check = SharedReadCheck {
        own_key_revision: 51,
        listed_revision: Some(51),
        ..CHECK
    };
    assert_eq!(READ.sent_at(&check), Err(SharedReadFault::BeforeJoin));
}

// Both hosts know the same list, but this host is not on it, or another process of the same name
// is. A host that announces a change does not ask this one, so it must not continue.
#[test]
fn a_host_that_is_off_the_list_has_no_proof() {
    for listed_revision in [None, Some(45)] {
        let check = SharedReadCheck {
            listed_revision,
            ..CHECK
        };
        assert_eq!(READ.sent_at(&check), Err(SharedReadFault::NotListed));
    }
}

#[test]
fn hosts_with_different_host_lists_share_no_proof() {
    let check = SharedReadCheck {
        hosts_digest: 8,
        ..CHECK
    };
    assert_eq!(READ.sent_at(&check), Err(SharedReadFault::OtherHosts));
}

#[test]
fn a_host_with_a_newer_table_takes_no_proof_of_an_older_one() {
    let check = SharedReadCheck {
        table: StoreVersion {
            revision: 41,
            ..TABLE
        },
        ..CHECK
    };
    assert_eq!(READ.sent_at(&check), Err(SharedReadFault::OlderTable));
}

// Guards against proofs across a restore of the store, which gives out revisions again.
#[test]
fn a_read_of_another_era_proves_nothing() {
    for era in [1, 3] {
        let read = SharedRead { era, ..READ };
        assert_eq!(read.sent_at(&CHECK), Err(SharedReadFault::OtherEra));
    }
}

#[test]
fn a_host_takes_no_proof_of_a_table_that_it_lacks() {
    let check = SharedReadCheck {
        table: StoreVersion {
            revision: 39,
            ..TABLE
        },
        ..CHECK
    };
    assert_eq!(READ.sent_at(&check), Err(SharedReadFault::NewerTable));
}

#[test]
fn an_old_read_is_not_shared() {
    let settings = ProofSharingSettings::default();
    assert!(settings.may_share_read(ms(900)));
    assert!(!settings.may_share_read(ms(1_300)));
}

fn hosts() -> BTreeMap<HostId, DomainId> {
    [
        ("a", "east"),
        ("b", "west"),
        ("c", "west"),
        ("d", "west"),
        ("e", "east"),
    ]
    .into_iter()
    .map(|(host, domain)| (host.into(), domain.into()))
    .collect()
}

fn source(sources: &ProofSources, now: Monotonic, host: &str, domain: &str) -> Option<String> {
    let hosts = hosts();
    let source = sources.source(now, &host.into(), domain, hosts.iter());
    source.map(|host| host.to_string())
}

#[test]
fn one_host_of_a_failure_domain_reads_for_the_others() {
    let sources = ProofSources::default();
    assert_eq!(source(&sources, ms(0), "a", "east"), None);
    assert_eq!(source(&sources, ms(0), "e", "east").as_deref(), Some("a"));
    assert_eq!(source(&sources, ms(0), "b", "west"), None);
    assert_eq!(source(&sources, ms(0), "d", "west").as_deref(), Some("b"));
    // A host that is not on the list finds no other host of its failure domain there.
    assert_eq!(source(&sources, ms(0), "f", "south"), None);
}

#[test]
fn a_host_without_a_read_is_skipped_and_asked_again_later() {
    let mut sources = ProofSources::default();
    sources.note_without_read(ms(1_000), &"b".into());
    let asked = |now| source(&sources, now, "d", "west");
    assert_eq!(asked(ms(1_500)).as_deref(), Some("c"));
    assert_eq!(asked(ms(5_000)).as_deref(), Some("b"));
    assert_eq!(source(&sources, ms(1_500), "c", "west"), None);
}

// Guards against a host that hears of no change for four seconds after one lost datagram, while it
// asks hosts that have no reads because they still get answers.
#[test]
fn a_host_is_asked_again_after_one_lost_answer() {
    let mut sources = ProofSources::default();
    let asked = |sources: &ProofSources, now| source(sources, now, "d", "west");
    sources.note_unanswered(ms(1_000), &"b".into());
    assert_eq!(asked(&sources, ms(1_000)).as_deref(), Some("b"));
    sources.note_answered();
    sources.note_unanswered(ms(2_000), &"b".into());
    assert_eq!(asked(&sources, ms(2_000)).as_deref(), Some("b"));
    sources.note_unanswered(ms(3_000), &"b".into());
    assert_eq!(asked(&sources, ms(3_000)).as_deref(), Some("c"));
}

// Guards against a failure in which 74 hosts started within a second and each new entry ended the
// waiting calls of all others: 5,400 calls before the first request.
#[test]
fn hosts_that_start_together_do_not_cause_a_call_each() {
    let pace = WatchPace::default();
    let hosts = 74;
    let start_time = ms(1_000);
    let calls_of_one = start_time.as_millis() / pace.spacing(hosts).as_millis() + 1;
    assert!(calls_of_one <= 1, "{calls_of_one}");
    assert!(pace.spacing(8) <= ms(200));
    assert!(pace.spacing(10_000) <= ms(2_000));
}

#[test]
fn a_watch_that_falls_behind_the_store_is_stalled() {
    let pace = WatchPace::default();
    let mut progress = WatchProgress::default();
    progress.note_watch_revision(ms(50), 20);
    progress.note_store_revision(ms(100), 20);
    assert!(!progress.is_stalled(&pace, ms(60_000)));
    progress.note_store_revision(ms(1_000), 21);
    progress.note_store_revision(ms(1_800), 22);
    assert!(!progress.is_stalled(&pace, ms(2_400)));
    assert!(progress.is_stalled(&pace, ms(2_500)));
    progress.note_watch_revision(ms(2_600), 22);
    assert!(!progress.is_stalled(&pace, ms(60_000)));
}

// The instances of an installation that starts register one by one, and each registration is a
// change of the directory.
#[test]
fn a_host_that_follows_another_one_collects_the_changes_of_a_second() {
    let pace = WatchPace::default();
    assert_eq!(pace.follower_spacing(2), ms(1_000));
    assert_eq!(pace.follower_spacing(295), pace.max_spacing);
}
