//! Tests when an answer that is being received is given up.

use std::time::Duration;

use jujubehold_core::directory_progress::MAX_UNCONFIRMED_TIME;
use jujubehold_core::ids::Monotonic;
use jujubehold_core::transfer_timeout::TransferTimeout;
use jujubehold_core::watch_pace::{WatchPace, WatchProgress};

fn ms(time_ms: u64) -> Monotonic {
    Duration::from_millis(time_ms)
}

#[test]
fn an_answer_that_keeps_arriving_is_not_given_up() {
    let mut timeout = TransferTimeout::new(ms(0), ms(700));
    // 760 KB over a link of 250 KB a second.
    for step in 1..=30 {
        let now = ms(step * 100);
        timeout.note_received(now, step * 25_000);
        assert!(!timeout.is_expired(now));
    }
    assert!(!timeout.is_expired(ms(3_699)));
    assert!(timeout.is_expired(ms(3_700)));
}

#[test]
fn an_answer_of_which_nothing_arrives_is_given_up() {
    let mut timeout = TransferTimeout::new(ms(1_000), ms(700));
    timeout.note_received(ms(1_600), 0);
    assert_eq!(timeout.expires_at(), ms(1_700));
    assert!(timeout.is_expired(ms(1_700)));
}

// A single byte every half second is progress each time, so the listing that a host needs in order
// to start could take days.
#[test]
fn an_answer_that_trickles_is_given_up() {
    let mut timeout = TransferTimeout::new(ms(0), ms(700));
    let mut now = ms(0);
    for step in 1..=10_000 {
        now = ms(step * 500);
        timeout.note_received(now, step);
        if timeout.is_expired(now) {
            break;
        }
    }
    // The first check after the idle limit.
    assert!(now <= ms(1_000), "{now:?}");
}

// A host whose link is shared with its callers may receive at a fraction of the link's rate.
#[test]
fn a_slow_answer_is_not_given_up() {
    let mut timeout = TransferTimeout::new(ms(0), ms(700));
    for step in 1..=600 {
        let now = ms(step * 500);
        timeout.note_received(now, step * 5_000);
        assert!(!timeout.is_expired(now), "{now:?}");
    }
}

#[test]
fn an_answer_without_end_is_given_up() {
    let mut timeout = TransferTimeout::new(ms(0), ms(700));
    let mut now = ms(0);
    for step in 1..=1_000_000 {
        now = ms(step * 500);
        timeout.note_received(now, step * 100_000);
        if timeout.is_expired(now) {
            break;
        }
    }
    assert!(now < ms(600_000), "{now:?}");
}

// A host that was cut off for 12 s received 675 KB of changes over a link of 1,250 KB a second,
// shared with its callers, while other answers showed that the watch was behind.
#[test]
fn a_watch_whose_answer_is_arriving_is_not_stalled() {
    let pace = WatchPace::default();
    let mut progress = WatchProgress::default();
    progress.note_watch_revision(ms(0), 118);
    progress.note_store_revision(ms(100), 142);
    for step in 1..=16 {
        let now = ms(step * 250);
        progress.note_received(now, step * 42_000);
        assert!(!progress.is_stalled(&pace, now));
    }
    assert!(!progress.is_stalled(&pace, ms(5_400)));
    assert!(progress.is_stalled(&pace, ms(5_500)));
}

#[test]
fn the_answer_of_an_earlier_watch_is_no_progress_of_the_next_one() {
    let pace = WatchPace::default();
    let mut progress = WatchProgress::default();
    progress.note_store_revision(ms(0), 142);
    progress.note_received(ms(100), 50_000);
    progress.note_watch_revision(ms(1_000), 118);
    progress.note_received(ms(2_000), 4_000);
    assert!(!progress.is_stalled(&pace, ms(3_400)));
    assert!(progress.is_stalled(&pace, ms(3_500)));
}

// The load: a host that is not listed waits for changes on a connection that a cut has silenced.
// Guards against a watch that is ended only by other answers, and against one that is ended while its
// long answer arrives over a thin link.
#[test]
fn a_watch_that_nothing_confirms_is_given_up_unless_its_answer_arrives() {
    let mut progress = WatchProgress::default();
    let confirmed_at = ms(1_000);
    let relied_until = confirmed_at + MAX_UNCONFIRMED_TIME;
    assert!(!progress.is_unconfirmed(confirmed_at, relied_until));
    assert!(progress.is_unconfirmed(confirmed_at, relied_until + ms(1)));
    progress.note_received(ms(3_400), 42_000);
    assert!(!progress.is_unconfirmed(confirmed_at, ms(5_900)));
    assert!(progress.is_unconfirmed(confirmed_at, ms(5_901)));
}
