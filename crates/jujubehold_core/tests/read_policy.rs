//! A replica serves a read only if its data is proved new enough.

mod support;

use jujubehold_core::authority::Authority;
use jujubehold_core::prelude::*;
use jujubehold_core::read_candidates::{ReadContext, read_candidates};
use jujubehold_core::read_policy::{ReadJudgement, ReadNeed};
use jujubehold_core::session_floor::FloorKnowledge;

use support::{config, ms, status};

/// The primary `a` was at position 100 at 1,000 ms and at 120 at 2,000 ms; both replicas were at
/// 110 at 2,000 ms.
fn view() -> GroupView {
    let mut view = GroupView::default();
    view.observe(ms(1000), status("a", "primary", 1, 100, "1:0"));
    view.observe(ms(2000), status("a", "primary", 1, 120, "1:0"));
    for name in ["b", "c"] {
        view.observe(ms(2000), status(name, "replica", 1, 110, "1:0"));
    }
    view
}

fn judge(need: &ReadNeed, view: &GroupView, sent_ms: u64, by: &InstanceStatus) -> ReadJudgement {
    need.judge(&config(), view, &Authority::default(), ms(sent_ms), by)
}

fn aged(as_of_ms: u64, age_ms: u64) -> ReadNeed {
    ReadNeed {
        floor: None,
        as_of: ms(as_of_ms),
        age: ms(age_ms),
        complete_since: None,
    }
}

#[test]
fn a_replicas_data_is_as_old_as_the_newest_sample_it_has_reached() {
    let replica = status("b", "replica", 1, 110, "1:0");
    let view = view();
    let judged = judge(&aged(2100, 1100), &view, 2100, &replica);
    assert_eq!(judged, ReadJudgement::Serve);
    let judged = judge(&aged(2100, 1099), &view, 2100, &replica);
    assert_eq!(judged, ReadJudgement::Retry);
}

#[test]
fn the_age_grows_while_the_primary_is_not_sampled() {
    let replica = status("b", "replica", 1, 120, "1:0");
    let view = view();
    let judged = judge(&aged(3000, 1000), &view, 3000, &replica);
    assert_eq!(judged, ReadJudgement::Serve);
    let judged = judge(&aged(3001, 1000), &view, 3001, &replica);
    assert_eq!(judged, ReadJudgement::Retry);
}

#[test]
fn a_primary_without_a_recent_proof_of_its_term_cannot_prove_its_own_data() {
    let primary = status("a", "primary", 1, 120, "1:0");
    let view = view();
    // The replicas were last asked at 2,000 ms, and the authority window is 400 ms long.
    let judged = judge(&aged(2390, 0), &view, 2395, &primary);
    assert_eq!(judged, ReadJudgement::Serve);
    let judged = judge(&aged(2401, 0), &view, 2405, &primary);
    assert_eq!(judged, ReadJudgement::Retry);
}

#[test]
fn position_samples_of_a_replaced_primary_are_dropped() {
    let mut view = view();
    view.observe(ms(2500), status("b", "primary", 2, 110, "1:0,2:110"));
    view.observe(ms(2600), status("a", "primary", 1, 130, "1:0"));
    let old_follower = status("c", "replica", 1, 120, "1:0");
    let judged = judge(&aged(2700, 600), &view, 2700, &old_follower);
    assert_eq!(judged, ReadJudgement::Retry);
}

#[test]
fn a_floor_that_a_failover_removed_is_reported_as_lost() {
    let mut config = config();
    config.read_age = ms(2000);
    let need = ReadNeed::new(
        &config,
        FloorKnowledge::Floor(Floor {
            service: "shares".into(),
            term: 1,
            position: 115,
        }),
        ms(3000),
    );
    let judged = judge(
        &need,
        &view(),
        3000,
        &status("b", "primary", 2, 200, "1:0,2:110"),
    );
    assert_eq!(judged, ReadJudgement::FloorLost);
    let judged = judge(&need, &view(), 3000, &status("b", "replica", 1, 114, "1:0"));
    assert_eq!(judged, ReadJudgement::Retry);
    let judged = judge(&need, &view(), 3000, &status("b", "replica", 1, 115, "1:0"));
    assert_eq!(judged, ReadJudgement::Serve);
}

#[test]
fn a_session_with_unknown_writes_needs_data_as_of_its_request() {
    let mut config = config();
    config.read_age = ms(5000);
    let need = |knowledge| ReadNeed::new(&config, knowledge, ms(10));
    assert_eq!(need(FloorKnowledge::Unknown).oldest_allowed(), ms(10));
    let before = FloorKnowledge::UnknownBefore(ms(4));
    assert_eq!(need(before).oldest_allowed(), ms(4));
    assert_eq!(need(FloorKnowledge::NoWrites).oldest_allowed(), ms(0));
}

#[test]
fn a_floor_does_not_excuse_data_older_than_the_service_accepts() {
    let floor = Floor {
        service: "shares".into(),
        term: 1,
        position: 90,
    };
    let replica = status("b", "replica", 1, 110, "1:0");
    let judge_at = |read_age| {
        let mut config = config();
        config.read_age = read_age;
        let need = ReadNeed::new(&config, FloorKnowledge::Floor(floor.clone()), ms(2100));
        judge(&need, &view(), 2100, &replica)
    };
    assert_eq!(judge_at(ms(1100)), ReadJudgement::Serve);
    assert_eq!(judge_at(ms(0)), ReadJudgement::Retry);
}

#[test]
fn a_read_that_no_sample_satisfies_needs_a_newer_one() {
    assert!(!aged(2100, 100).needs_newer_sample(&view()));
    assert!(aged(2101, 100).needs_newer_sample(&view()));
    assert!(aged(0, 0).needs_newer_sample(&GroupView::default()));
}

#[test]
fn suitable_replicas_come_first_ordered_by_distance() {
    let mut config = config();
    let context = ReadContext {
        domain: "piedmont".into(),
        region: "south".into(),
        now: ms(2100),
        avoided: std::collections::BTreeSet::new(),
        max_catch_up_wait: std::time::Duration::ZERO,
        spread_seed: 3,
    };
    let need = aged(2100, 1500);
    let candidates = read_candidates(&config, &view(), &need, &context);
    assert_eq!(candidates, ["c", "b", "a"]);
    let fresh = aged(2100, 0);
    let candidates = read_candidates(&config, &view(), &fresh, &context);
    assert_eq!(candidates, ["a", "c", "b"]);
    for instance in config.instances.values_mut() {
        instance.state = InstanceState::Leaving;
    }
    assert!(read_candidates(&config, &view(), &need, &context).is_empty());
}

#[test]
fn a_replicas_own_answer_proves_the_term() {
    let mut view = view();
    view.observe(ms(5000), status("a", "primary", 1, 130, "1:0"));
    // Since 2,000 ms, only the replica that answers the read has been asked.
    let replica = status("b", "replica", 1, 130, "1:0");
    let judged = judge(&aged(5010, 20), &view, 5010, &replica);
    assert_eq!(judged, ReadJudgement::Serve);
    let mut outdated = status("b", "replica", 1, 130, "1:0");
    outdated.fence_term = 2;
    let judged = judge(&aged(5010, 20), &view, 5010, &outdated);
    assert_eq!(judged, ReadJudgement::Retry);
}

/// The primary `a` made its last write, at position 120, between 1,000 ms and 1,010 ms; `b`, which
/// lags by 100 ms, was last asked shortly before it had applied that write.
fn view_of_an_idle_primary() -> GroupView {
    let mut view = GroupView::default();
    view.observe(ms(900), status("a", "primary", 1, 100, "1:0"));
    view.observe(ms(1000), status("a", "primary", 1, 110, "1:0"));
    view.observe(ms(1010), status("a", "primary", 1, 120, "1:0"));
    view.observe(ms(1100), status("b", "replica", 1, 110, "1:0"));
    view.observe(ms(1300), status("a", "primary", 1, 120, "1:0"));
    view
}

fn first_candidate(need: &ReadNeed, view: &GroupView, max_wait_ms: u64) -> InstanceId {
    let context = ReadContext {
        domain: "delta".into(),
        region: "south".into(),
        now: need.as_of,
        avoided: std::collections::BTreeSet::new(),
        max_catch_up_wait: ms(max_wait_ms),
        spread_seed: 3,
    };
    let mut config = config();
    config.instances.remove("c");
    read_candidates(&config, view, need, &context).remove(0)
}

#[test]
fn a_replica_is_expected_to_have_what_an_idle_primary_wrote_long_ago() {
    let view = view_of_an_idle_primary();
    assert_eq!(view.samples["b"].lag, ms(90));
    assert_eq!(first_candidate(&aged(1300, 0), &view, 0), "b");
}

#[test]
fn a_lagging_replica_does_not_rank_first_for_a_recent_write() {
    let mut view = view_of_an_idle_primary();
    // That the replica is up to date now does not show that its lag has decreased.
    view.observe(ms(1310), status("b", "replica", 1, 120, "1:0"));
    assert_eq!(view.samples["b"].lag, ms(90));
    view.observe(ms(1320), status("a", "primary", 1, 130, "1:0"));
    assert_eq!(first_candidate(&aged(1320, 0), &view, 8), "a");
    assert_eq!(first_candidate(&aged(1320, 0), &view, 90), "b");
}

#[test]
fn a_replica_that_applies_a_write_soon_gets_a_lower_lag_estimate() {
    let mut view = view_of_an_idle_primary();
    view.observe(ms(1320), status("a", "primary", 1, 130, "1:0"));
    view.observe(ms(1325), status("b", "replica", 1, 130, "1:0"));
    // The write was made after the primary was asked at 1,300 ms.
    assert_eq!(view.samples["b"].lag, ms(25));
}

#[test]
fn a_sessions_write_that_no_sample_covers_counts_as_written_when_the_read_arrived() {
    let mut view = view_of_an_idle_primary();
    view.observe(ms(1310), status("b", "replica", 1, 120, "1:0"));
    let mut need = aged(1320, 1000);
    need.floor = Some(Floor {
        service: "shares".into(),
        term: 1,
        position: 130,
    });
    assert_eq!(first_candidate(&need, &view, 8), "a");
    assert_eq!(first_candidate(&need, &view, 90), "b");
}

#[test]
fn a_newer_sample_is_wanted_after_a_tenth_of_the_accepted_age() {
    assert!(!aged(2099, 1000).wants_newer_sample(&view()));
    assert!(aged(2100, 1000).wants_newer_sample(&view()));
    assert!(!aged(2019, 100).wants_newer_sample(&view()));
    assert!(aged(2020, 100).wants_newer_sample(&view()));
    assert!(aged(0, 1000).wants_newer_sample(&GroupView::default()));
}
