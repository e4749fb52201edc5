//! Request names, their digests and their outcome records.

use jujubehold_core::request_name::{
    MAX_NAME_BYTES, OutcomeRecord, RecordJudgement, digest, judge_record, parse_name,
};

#[test]
fn a_name_is_plain_and_not_too_long() {
    let longest = "x".repeat(MAX_NAME_BYTES);
    for name in ["order-1", "a/b:c;d", &longest] {
        assert_eq!(parse_name(name).as_deref(), Some(name));
    }
    let too_long = "x".repeat(MAX_NAME_BYTES + 1);
    for name in ["", "two words", "quo'te", "back\\slash", "ö", &too_long] {
        assert_eq!(parse_name(name), None, "{name}");
    }
}

#[test]
fn a_digest_depends_on_where_the_parts_end() {
    let one = digest([&b"ab"[..], b"c"]);
    assert_eq!(one, digest([&b"ab"[..], b"c"]));
    assert_ne!(one, digest([&b"a"[..], b"bc"]));
    assert_ne!(one, digest([&b"abc"[..]]));
}

#[test]
fn a_record_answers_only_its_own_request() {
    let record = OutcomeRecord {
        digest: digest([&b"first"[..]]),
        tag: "UPDATE 1".into(),
    };
    let same = judge_record(&record, &digest([&b"first"[..]]));
    assert_eq!(same, RecordJudgement::SameRequest("UPDATE 1".into()));
    let other = judge_record(&record, &digest([&b"second"[..]]));
    assert_eq!(other, RecordJudgement::AnotherRequest);
}
