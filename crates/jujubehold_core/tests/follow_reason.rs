//! Tests in which order the reasons count for which a host asks for changes of the directory.

use jujubehold_core::directory_progress::DirectoryNeed;
use jujubehold_core::follow_reason::FollowReason;

const NEEDS: [DirectoryNeed; 3] = [
    DirectoryNeed::Nothing,
    DirectoryNeed::Changes,
    DirectoryNeed::Confirmation,
];

// Revisions of the lost history say nothing, so whatever else is known does not count.
#[test]
fn a_restored_store_is_listed_first_of_all() {
    for need in NEEDS {
        for has_source in [false, true] {
            let reason = FollowReason::next(true, has_source, need);
            assert_eq!(reason, Some(FollowReason::Restored));
        }
    }
}

// Guards against a host that waits at the store, or for another host, while nothing tells it that it
// lacks no change.
#[test]
fn unconfirmed_knowledge_goes_before_waiting() {
    for has_source in [false, true] {
        let reason = FollowReason::next(false, has_source, DirectoryNeed::Confirmation);
        assert_eq!(reason, Some(FollowReason::Unconfirmed));
    }
}

#[test]
fn a_host_without_a_source_waits_at_the_store_and_another_one_for_news() {
    for need in [DirectoryNeed::Nothing, DirectoryNeed::Changes] {
        let reason = FollowReason::next(false, false, need);
        assert_eq!(reason, Some(FollowReason::NoSource));
    }
    let reason = FollowReason::next(false, true, DirectoryNeed::Changes);
    assert_eq!(reason, Some(FollowReason::Changes));
    let reason = FollowReason::next(false, true, DirectoryNeed::Nothing);
    assert_eq!(reason, None);
}
