//! Tests which other hosts a host asks to confirm its copy of the directory.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubehold_core::directory_sources::DirectorySources;
use jujubehold_core::ids::{DomainId, HostId};

fn hosts() -> BTreeMap<HostId, DomainId> {
    let hosts = [("a", "east"), ("b", "east"), ("c", "east"), ("d", "west")];
    let hosts = hosts.into_iter();
    hosts
        .map(|(host, domain)| (host.into(), domain.into()))
        .collect()
}

fn next(sources: &DirectorySources, now_ms: u64, host: &str) -> Option<HostId> {
    let now = Duration::from_millis(now_ms);
    sources.next(now, &host.into(), "east", hosts().iter())
}

// The load: the first hosts of a failure domain by name, which read the store for the others, are cut
// off from it. Guards against hosts that only ask those before them.
#[test]
fn any_other_host_of_the_failure_domain_is_asked() {
    let mut sources = DirectorySources::default();
    assert_eq!(next(&sources, 0, "a"), Some("b".into()));
    sources.note_unhelpful(Duration::ZERO, &"b".into());
    assert_eq!(next(&sources, 100, "a"), Some("c".into()));
    sources.note_unhelpful(Duration::from_millis(100), &"c".into());
    assert_eq!(next(&sources, 200, "a"), None);
    assert_eq!(next(&sources, 3_050, "a"), Some("b".into()));
}

#[test]
fn hosts_of_other_failure_domains_are_not_asked() {
    let sources = DirectorySources::default();
    let alone = hosts().into_iter().filter(|(host, _)| host == "d");
    let alone: BTreeMap<_, _> = alone.collect();
    let source = sources.next(Duration::ZERO, &"d".into(), "west", alone.iter());
    assert_eq!(source, None);
}
