//! Tests when a host asks the store for changes of the directory.

use std::time::Duration;

use jujubehold_core::directory_progress::{
    DirectoryNeed, DirectoryNews, DirectoryProgress, MAX_UNCONFIRMED_TIME, StoreRead,
};

fn news(reached: u64, changed: u64) -> DirectoryNews {
    DirectoryNews {
        era: 1,
        reached,
        changed,
    }
}

fn read(read_at_ms: u64, revision: u64) -> StoreRead {
    StoreRead {
        read_at: Duration::from_millis(read_at_ms),
        era: 1,
        revision,
    }
}

fn listed(revision: u64) -> DirectoryProgress {
    let mut progress = DirectoryProgress::default();
    progress.note_listed(&read(0, revision));
    progress
}

#[test]
fn changes_of_other_keys_need_no_call() {
    let mut progress = listed(10);
    progress.note_news(&news(25, 8));
    assert!(!progress.is_behind());
    assert_eq!(progress.reached(), 25);
}

#[test]
fn a_change_of_the_directory_needs_one_call() {
    let mut progress = listed(10);
    progress.note_news(&news(25, 20));
    assert!(progress.is_behind());
    assert_eq!(progress.reached(), 10);
    progress.note_reached(&read(0, 26));
    assert!(!progress.is_behind());
    progress.note_news(&news(27, 20));
    assert!(!progress.is_behind());
}

// The host that answers may have listed the directory after an instance was removed. No item of
// the listing shows that.
#[test]
fn a_host_that_listed_anew_reports_a_change() {
    let other = listed(30);
    let mut progress = listed(10);
    progress.note_news(&other.news());
    assert!(progress.is_behind());
}

#[test]
fn a_change_that_the_store_does_not_have_is_given_up() {
    let mut progress = listed(10);
    progress.note_news(&news(40, 40));
    progress.note_reached(&read(0, 12));
    assert!(!progress.is_behind());
}

// A store that was restored from a copy gives out revisions again and has no history of the higher
// ones, so a host that insists on them would list the directory for ever.
#[test]
fn a_listing_of_a_restored_store_is_continued_from() {
    let mut progress = listed(40);
    progress.note_listed(&read(0, 12));
    assert_eq!(progress.reached(), 12);
}

#[test]
fn a_read_of_a_known_revision_confirms_the_directory() {
    let mut progress = listed(10);
    progress.note_read(&read(500, 10));
    assert_eq!(progress.confirmed_at(), Duration::from_millis(500));
    // An older read that arrives later changes nothing.
    progress.note_read(&read(300, 9));
    assert_eq!(progress.confirmed_at(), Duration::from_millis(500));
}

// The host that reads for others shares its read before its watch has shown the latest changes.
#[test]
fn a_read_confirms_the_directory_once_its_revision_is_reached() {
    let mut progress = listed(10);
    progress.note_read(&read(500, 12));
    progress.note_read(&read(900, 14));
    assert_eq!(progress.confirmed_at(), Duration::ZERO);
    progress.note_news(&news(13, 8));
    assert_eq!(progress.confirmed_at(), Duration::from_millis(500));
    progress.note_read(&read(1_300, 14));
    progress.note_handed_on(14, None);
    assert_eq!(progress.confirmed_at(), Duration::from_millis(1_300));
}

// The host that is followed may be cut off from the store, or behind itself.
#[test]
fn a_host_that_nothing_confirms_asks_the_store() {
    let mut progress = listed(10);
    let confirmed_at = Duration::from_millis(500);
    progress.note_read(&read(500, 10));
    let relied_until = confirmed_at + MAX_UNCONFIRMED_TIME;
    assert_eq!(progress.need(relied_until), DirectoryNeed::Nothing);
    progress.note_news(&news(20, 20));
    assert_eq!(progress.need(relied_until), DirectoryNeed::Changes);
    let later = relied_until + Duration::from_millis(1);
    assert_eq!(progress.need(later), DirectoryNeed::Confirmation);
}

// The other host's own reads are recent, but its watch has not shown what they show.
#[test]
fn reads_of_revisions_that_are_not_reached_confirm_nothing() {
    let mut progress = listed(10);
    let mut now = Duration::ZERO;
    for step in 1..10 {
        now += MAX_UNCONFIRMED_TIME / 4;
        progress.note_read(&StoreRead {
            read_at: now,
            ..read(0, 10 + step)
        });
        progress.note_news(&news(10, 10));
    }
    assert_eq!(progress.need(now), DirectoryNeed::Confirmation);
}

// Guards against a host that is cut off from the store and relies on an age that its neighbour did
// not state, or on one that is as old as its own.
#[test]
fn another_host_confirms_the_directory_by_its_own_age() {
    let mut progress = listed(10);
    let now = MAX_UNCONFIRMED_TIME * 2;
    progress.note_handed_on(12, None);
    assert_eq!(progress.reached(), 12);
    assert_eq!(progress.need(now), DirectoryNeed::Confirmation);
    let recent = now.saturating_sub(Duration::from_secs(1));
    progress.note_handed_on(12, Some(recent));
    assert_eq!(progress.need(now), DirectoryNeed::Nothing);
    progress.note_handed_on(13, Some(Duration::ZERO));
    assert_eq!(progress.confirmed_at(), recent);
}

// Guards against a denial that rests on the absence of news.
#[test]
fn only_recent_knowledge_denies_that_something_exists() {
    let mut progress = DirectoryProgress::default();
    assert!(!progress.is_absence_certain(Duration::ZERO));
    progress.note_listed(&read(500, 10));
    let confirmed_at = Duration::from_millis(500);
    assert!(progress.is_absence_certain(confirmed_at + MAX_UNCONFIRMED_TIME));
    let later = confirmed_at + MAX_UNCONFIRMED_TIME + Duration::from_millis(1);
    assert!(!progress.is_absence_certain(later));
    progress.note_read(&read(3_000, 10));
    assert!(progress.is_absence_certain(later));
}

// The store gives out revisions again after it was restored, so the same number stands for two
// states.
#[test]
fn revisions_of_another_era_say_nothing() {
    let mut progress = listed(10);
    progress.note_news(&DirectoryNews {
        era: 2,
        ..news(25, 8)
    });
    assert_eq!(progress.reached(), 10);
    progress.note_news(&DirectoryNews {
        era: 2,
        ..news(25, 20)
    });
    assert!(!progress.is_behind());
    progress.note_read(&StoreRead {
        era: 2,
        ..read(500, 9)
    });
    assert_eq!(progress.confirmed_at(), Duration::ZERO);
}
