//! A floor is reached only by an instance whose history contains it.

use jujubehold_core::prelude::*;

fn status(applied: Position, history: &str) -> InstanceStatus {
    InstanceStatus::parse(&format!(
        "instance=a role=replica term=3 received={applied} applied={applied} fence_term=0 \
         fence_nonce=0 last_commit=0 history={history}"
    ))
    .expect("the text is well formed")
}

fn floor(term: Term, position: Position) -> Floor {
    Floor {
        service: "shares".into(),
        term,
        position,
    }
}

#[test]
fn a_floor_within_its_term_is_reached_when_applied() {
    let status = status(120, "1:0,2:100");
    assert_eq!(floor(1, 100).check(&status), FloorCheck::Reached);
    assert_eq!(floor(2, 120).check(&status), FloorCheck::Reached);
    assert_eq!(floor(2, 121).check(&status), FloorCheck::Behind);
}

#[test]
fn a_floor_past_the_end_of_its_term_is_lost() {
    let status = status(500, "1:0,2:100");
    assert_eq!(floor(1, 101).check(&status), FloorCheck::Lost);
}

#[test]
fn an_instance_is_behind_a_floor_of_a_term_that_it_has_not_seen() {
    assert_eq!(floor(2, 10).check(&status(500, "1:0")), FloorCheck::Behind);
}

#[test]
fn a_status_is_parsed_back_from_its_text_form() {
    let status = status(7, "1:0,4:6");
    assert_eq!(InstanceStatus::parse(&status.to_string()), Some(status));
}
