//! Tests which replica takes over where replicas confirm commits.

use jujubehold_core::candidate_choice::{CandidateStatus, newer_primary};
use jujubehold_core::confirmed_choice::{ConfirmedChoice, ConfirmedStep, KnownCommits};
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;

const CONFIRMING: usize = 1;

fn at(position: Position) -> LogPosition {
    LogPosition { term: 3, position }
}

fn marked(instance: &str, position: Position) -> CandidateStatus {
    CandidateStatus {
        instance: instance.into(),
        role: Role::Replica,
        term: 3,
        received: at(position),
        is_unmarked: false,
        is_leaving: false,
        may_lead: true,
    }
}

fn unmarked(instance: &str, position: Position) -> CandidateStatus {
    CandidateStatus {
        is_unmarked: true,
        ..marked(instance, position)
    }
}

fn promote(instance: &str) -> ConfirmedStep {
    ConfirmedStep::Promote(instance.into())
}

fn step(
    choice: &mut ConfirmedChoice,
    statuses: &[CandidateStatus],
    expected: usize,
) -> ConfirmedStep {
    step_knowing(choice, statuses, &expecting(expected))
}

fn expecting(replicas: usize) -> KnownCommits {
    KnownCommits {
        expected_replicas: Some(replicas),
        acknowledged: None,
        term_start: None,
    }
}

fn step_knowing(
    choice: &mut ConfirmedChoice,
    statuses: &[CandidateStatus],
    known: &KnownCommits,
) -> ConfirmedStep {
    choice.next_step(&"a".into(), statuses, known)
}

// Guards against comparing positions that still grow.
#[test]
fn all_replicas_are_marked_before_one_is_chosen() {
    let mut choice = ConfirmedChoice::new(CONFIRMING, None);
    let statuses = [marked("b", 7), unmarked("c", 9)];
    let next = step(&mut choice, &statuses, 2);
    assert_eq!(next, ConfirmedStep::Mark(vec!["c".into()]));
    let statuses = [marked("b", 7), marked("c", 10)];
    assert_eq!(step(&mut choice, &statuses, 2), promote("c"));
}

// Guards against passing over the only replica that has what was acknowledged.
#[test]
fn a_leaving_replica_with_more_commits_takes_over() {
    let mut choice = ConfirmedChoice::new(CONFIRMING, None);
    let leaving = CandidateStatus {
        is_leaving: true,
        ..marked("b", 10)
    };
    let statuses = [leaving.clone(), marked("c", 9)];
    assert_eq!(step(&mut choice, &statuses, 2), promote("b"));
    let statuses = [leaving, marked("c", 10)];
    assert_eq!(step(&mut choice, &statuses, 2), promote("c"));
}

// Guards against a silent replica that alone has a commit. Of two confirmations, one is known.
#[test]
fn a_replica_that_does_not_answer_is_waited_for() {
    let statuses = [marked("b", 7)];
    let mut choice = ConfirmedChoice::new(1, None);
    assert_eq!(step(&mut choice, &statuses, 2), ConfirmedStep::AwaitAnswers);
    assert_eq!(step(&mut choice, &statuses, 1), promote("b"));
    let mut choice = ConfirmedChoice::new(2, None);
    assert_eq!(step(&mut choice, &statuses, 2), promote("b"));
}

// Guards against forgetting what an instance reported that has stopped answering, or that lost its
// log in a restart.
#[test]
fn a_position_that_was_reported_is_waited_for() {
    let mut choice = ConfirmedChoice::new(CONFIRMING, None);
    step(&mut choice, &[unmarked("b", 10), unmarked("c", 9)], 2);
    let next = step(&mut choice, &[marked("c", 9)], 1);
    assert_eq!(next, ConfirmedStep::AwaitCommits);
    let next = step(&mut choice, &[marked("b", 0), marked("c", 9)], 2);
    assert_eq!(next, ConfirmedStep::AwaitCommits);
    let next = step(&mut choice, &[marked("b", 10), marked("c", 9)], 2);
    assert_eq!(next, promote("b"));
}

// Guards against promoting an instance that callers can't reach, and against one that has less.
#[test]
fn an_instance_that_may_not_lead_counts_for_what_it_has() {
    let mut choice = ConfirmedChoice::new(CONFIRMING, None);
    let unlisted = CandidateStatus {
        may_lead: false,
        ..marked("b", 10)
    };
    let next = step(&mut choice, &[unlisted, marked("c", 9)], 2);
    assert_eq!(next, ConfirmedStep::AwaitCommits);
}

// The replicas still receive the log of a primary that stepped down. Guards against marking them
// before they have all of it.
#[test]
fn replicas_catch_up_with_a_primary_that_stepped_down_before_they_are_marked() {
    let mut choice = ConfirmedChoice::new(CONFIRMING, Some(at(10)));
    let old = CandidateStatus {
        may_lead: false,
        ..unmarked("a", 10)
    };
    let statuses = [old.clone(), unmarked("b", 8), unmarked("c", 9)];
    assert_eq!(step(&mut choice, &statuses, 2), ConfirmedStep::AwaitCommits);
    let statuses = [old, unmarked("b", 8), unmarked("c", 10)];
    let next = step(&mut choice, &statuses, 2);
    let all = vec!["a".into(), "b".into(), "c".into()];
    assert_eq!(next, ConfirmedStep::Mark(all));
    // Its log has every acknowledged commit, so others need not answer.
    assert_eq!(step(&mut choice, &[marked("c", 10)], 2), promote("c"));
}

// Guards against a change that waits for ever for a log that nobody receives.
#[test]
fn the_old_primary_takes_over_again_if_it_alone_has_its_log() {
    let mut choice = ConfirmedChoice::new(CONFIRMING, Some(at(10)));
    let statuses = [marked("a", 10), marked("b", 8)];
    assert_eq!(step(&mut choice, &statuses, 1), promote("a"));
}

#[test]
fn an_old_primary_that_was_promoted_again_is_found() {
    let promoted = CandidateStatus {
        role: Role::Primary,
        term: 4,
        ..marked("a", 10)
    };
    let statuses = [promoted, marked("b", 10)];
    let found = |old_term| newer_primary(&"a".into(), old_term, &statuses);
    assert_eq!(found(3), Some(&statuses[0]));
    assert_eq!(found(4), None);
    assert_eq!(found(0), None);
}

// Guards against waiting for silent instances, and against taking one that has less, if the hosts know
// what they acknowledged.
#[test]
fn a_replica_with_all_that_was_acknowledged_takes_over_without_the_others() {
    let known = KnownCommits {
        acknowledged: Some(at(9)),
        ..expecting(4)
    };
    let mut choice = ConfirmedChoice::new(CONFIRMING, None);
    let next = step_knowing(&mut choice, &[marked("b", 8)], &known);
    assert_eq!(next, ConfirmedStep::AwaitAnswers);
    let next = step_knowing(&mut choice, &[marked("b", 9)], &known);
    assert_eq!(next, promote("b"));
}

// An instance that answered once has more, but nothing of it was acknowledged.
#[test]
fn commits_that_were_not_acknowledged_are_not_waited_for() {
    let known = KnownCommits {
        acknowledged: Some(at(9)),
        ..expecting(2)
    };
    let mut choice = ConfirmedChoice::new(CONFIRMING, None);
    step_knowing(&mut choice, &[unmarked("b", 12), unmarked("c", 9)], &known);
    let next = step_knowing(&mut choice, &[marked("c", 9)], &known);
    assert_eq!(next, promote("c"));
}

// Guards against forgetting instances whose number is not known.
#[test]
fn nothing_is_certain_while_the_instances_are_not_known() {
    let known = KnownCommits {
        expected_replicas: None,
        ..expecting(0)
    };
    let mut choice = ConfirmedChoice::new(CONFIRMING, None);
    let next = step_knowing(&mut choice, &[marked("b", 9), marked("c", 9)], &known);
    assert_eq!(next, ConfirmedStep::AwaitAnswers);
}

// A primary that took over alone has commits that the others do not know they lack. Guards against the
// loss of those that were acknowledged in an earlier term.
#[test]
fn what_the_old_primary_had_when_it_took_over_is_needed() {
    let known = KnownCommits {
        term_start: Some(at(10)),
        ..expecting(2)
    };
    let mut choice = ConfirmedChoice::new(CONFIRMING, None);
    let next = step_knowing(&mut choice, &[marked("b", 8), marked("c", 9)], &known);
    assert_eq!(next, ConfirmedStep::AwaitCommits);
    let next = step_knowing(&mut choice, &[marked("b", 10), marked("c", 9)], &known);
    assert_eq!(next, promote("b"));
}

// The old primary has its whole log. Guards against waiting for ever for an instance that is lost.
#[test]
fn the_old_primary_leads_again_if_no_replica_is_certain() {
    let mut choice = ConfirmedChoice::new(CONFIRMING, None);
    let returned = CandidateStatus {
        role: Role::Primary,
        ..unmarked("a", 10)
    };
    let next = step(&mut choice, &[returned.clone(), marked("b", 9)], 2);
    assert_eq!(next, ConfirmedStep::Reinstate);
    let leaving = CandidateStatus {
        may_lead: false,
        ..returned.clone()
    };
    let next = step(&mut choice, &[leaving, marked("b", 9)], 2);
    assert_eq!(next, ConfirmedStep::AwaitAnswers);
    let next = step(&mut choice, &[returned, marked("b", 9), marked("c", 10)], 2);
    assert_eq!(next, promote("c"));
}
