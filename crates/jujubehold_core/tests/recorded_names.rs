//! The removal of the names of hosts that are gone.

use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_core::recorded_names::UnlistedNames;

fn list(names: &mut UnlistedNames, second: u64, unlisted: &[&str]) {
    let unlisted = unlisted.iter().map(|host| HostId::from(*host));
    names.note_listing(Duration::from_secs(second), unlisted);
}

fn removable(names: &UnlistedNames) -> Vec<&str> {
    names.removable().map(HostId::as_str).collect()
}

// Guards against a share that is lost for ever when a host is replaced.
#[test]
fn a_name_is_removed_after_half_a_minute_without_its_host() {
    let mut names = UnlistedNames::default();
    for second in 0..30 {
        list(&mut names, second, &["gone"]);
        assert_eq!(removable(&names), [""; 0], "after {second} s");
    }
    list(&mut names, 30, &["gone"]);
    assert_eq!(removable(&names), ["gone"]);
}

// Guards against a name that is removed although its host may still lease its share.
#[test]
fn a_host_that_was_listed_meanwhile_keeps_its_name() {
    let mut names = UnlistedNames::default();
    for second in 0..29 {
        list(&mut names, second, &["back"]);
    }
    list(&mut names, 29, &[]);
    list(&mut names, 30, &["back"]);
    assert_eq!(removable(&names), [""; 0]);
}

// The load: the store is away for 10 s. The host may have been listed between two listings.
#[test]
fn the_time_begins_anew_after_a_pause_without_listings() {
    let mut names = UnlistedNames::default();
    for second in (0..25).chain(35..60) {
        list(&mut names, second, &["unknown"]);
        assert_eq!(removable(&names), [""; 0], "after {second} s");
    }
    for second in 60..=65 {
        list(&mut names, second, &["unknown"]);
    }
    assert_eq!(removable(&names), ["unknown"]);
}
