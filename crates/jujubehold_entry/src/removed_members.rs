//! The hosts that were removed from the list, for other hosts that follow it through this one.

use std::collections::BTreeSet;

use jujubehold_core::store_version::Revision;

use crate::prelude::*;

/// The maximum number of removals that are kept. A host that lacks more of them reads the whole
/// list.
const MAX_KEPT_REMOVALS: usize = 1_000;

/// The removals from the list of hosts, ordered by the store's revision.
#[derive(Debug, Default)]
pub(crate) struct RemovedMembers {
    removals: BTreeSet<(Revision, HostId)>,
    /// The revision since which all removals are kept; `None` before the first list.
    known_since: Option<Revision>,
}

impl RemovedMembers {
    /// Records that all removals after `revision`, that of the first list, will be noted.
    pub(crate) fn begin(&mut self, revision: Revision) {
        self.known_since.get_or_insert(revision);
    }

    /// Records that `host` was no longer listed at `revision`.
    pub(crate) fn note(&mut self, host: &HostId, revision: Revision) {
        self.removals.insert((revision, host.clone()));
        while self.removals.len() > MAX_KEPT_REMOVALS {
            if let Some((dropped, _)) = self.removals.pop_first() {
                self.known_since = Some(dropped);
            }
        }
    }

    /// Returns the hosts that were removed after `revision` up to `until`, with the revisions of
    /// their removals; `None` if some of them are not known.
    pub(crate) fn between(
        &self,
        revision: Revision,
        until: Revision,
    ) -> Option<Vec<(HostId, Revision)>> {
        if self.known_since.is_none_or(|since| revision < since) {
            return None;
        }
        let recent = self
            .removals
            .iter()
            .filter(|(removed_at, _)| *removed_at > revision && *removed_at <= until);
        Some(recent.map(|(at, host)| (host.clone(), *at)).collect())
    }
}
