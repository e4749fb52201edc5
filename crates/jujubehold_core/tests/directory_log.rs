//! The changes of the directory that hosts hand on to each other.

use jujubehold_core::directory_log::{DirectoryChange, DirectoryLog};
use smol_str::SmolStr;

fn key(name: &str) -> SmolStr {
    name.into()
}

// Guards against a follower that misses a change, or that gets one twice.
#[test]
fn a_follower_gets_each_change_after_what_it_has() {
    let mut log = DirectoryLog::default();
    log.begin(10);
    log.note_written(&key("a"), 7, &"old");
    log.note_written(&key("b"), 12, &"new");
    log.note_removed(&key("a"), 14);
    log.note_written(&key("b"), 11, &"late");
    let change = |name, revision, value| DirectoryChange {
        key: key(name),
        revision,
        value,
    };
    let all = vec![change("b", 12, Some("new")), change("a", 14, None)];
    assert_eq!(log.changes_after(10), Some(all));
    assert_eq!(log.changes_after(12), Some(vec![change("a", 14, None)]));
    assert_eq!(log.changes_after(14), Some(Vec::new()));
    // A datagram may ask for any revision.
    assert_eq!(log.changes_after(u64::MAX), Some(Vec::new()));
}

// Guards against a host that hands on what it can't know: removals before its own listing.
#[test]
fn nothing_is_handed_on_from_before_the_listing() {
    let mut log = DirectoryLog::<&str>::default();
    assert_eq!(log.changes_after(1), None);
    log.begin(10);
    assert_eq!(log.changes_after(9), None);
    log.begin(5);
    assert_eq!(log.changes_after(5), Some(Vec::new()));
}

// Guards against a removal that a newer entry of the same name has overtaken.
#[test]
fn a_late_removal_does_not_hide_a_newer_entry() {
    let mut log = DirectoryLog::default();
    log.begin(1);
    log.note_written(&key("a"), 9, &"again");
    log.note_removed(&key("a"), 8);
    let changes = log.changes_after(1).expect("all changes are known");
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].value, Some("again"));
}

// The load: many items are removed one after the other. Guards against a log that grows for ever.
#[test]
fn old_removals_are_dropped() {
    let mut log = DirectoryLog::<&str>::default();
    log.begin(1);
    for revision in 2..5_000 {
        log.note_removed(&key(&format!("item-{revision}")), revision);
    }
    assert_eq!(log.changes_after(1), None);
    assert_eq!(
        log.changes_after(4_900).map(|changes| changes.len()),
        Some(99)
    );
}
