//! Start-time fair queueing.

use std::collections::BTreeMap;

use crate::value_type;

value_type! {
    /// Picks among flows so that each gets slot time in proportion to its share.
    ///
    /// A flow's start tag is the later of the virtual time and the end of its last request; the
    /// lowest tag goes first. A flow that was idle gains nothing by it.
    pub(super) struct FairShare<K> {
        virtual_time: u64,
        ends: BTreeMap<K, u64>,
    }
}

impl<K: Ord> Default for FairShare<K> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            ends: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> FairShare<K> {
    /// The flow whose turn it is.
    pub(super) fn pick<'a>(&self, flows: impl Iterator<Item = &'a K>) -> Option<&'a K>
    where
        K: 'a,
    {
        flows.min_by_key(|flow| self.start_tag(flow))
    }

    /// Charges a flow for a request that starts.
    pub(super) fn charge(&mut self, flow: &K, cost: u64) {
        let start = self.start_tag(flow);
        self.virtual_time = start;
        self.ends.insert(flow.clone(), start + cost.max(1));
        // A flow whose end has passed has the same tag as one that is not kept.
        self.ends.retain(|_, end| *end > start);
    }

    fn start_tag(&self, flow: &K) -> u64 {
        let end = self.ends.get(flow).copied().unwrap_or(0);
        end.max(self.virtual_time)
    }
}
