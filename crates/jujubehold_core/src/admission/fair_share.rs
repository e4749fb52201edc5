//! Start-time fair queueing, which divides slot time among callers and request classes.

use std::collections::BTreeMap;

use crate::value_type;

value_type! {
    /// Chooses among flows so that each gets slot time in proportion to its share.
    ///
    /// A flow's start tag is the later of the virtual time and the finish tag of its last request;
    /// the flow with the lowest start tag goes first. A flow earns no credit while it is idle.
    pub(super) struct FairShare<K> {
        virtual_time: u64,
        finish_tags: BTreeMap<K, u64>,
    }
}

impl<K: Ord> Default for FairShare<K> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            finish_tags: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> FairShare<K> {
    /// Returns the flow with the lowest start tag, whose request runs next.
    pub(super) fn pick<'a>(&self, flows: impl Iterator<Item = &'a K>) -> Option<&'a K>
    where
        K: 'a,
    {
        flows.min_by_key(|flow| self.start_tag(flow))
    }

    /// Charges `cost` to a flow whose request starts: the slot time in microseconds, divided by the
    /// weight of the flow.
    pub(super) fn charge(&mut self, flow: &K, cost: u64) {
        let start = self.start_tag(flow);
        self.virtual_time = start;
        self.finish_tags.insert(flow.clone(), start + cost.max(1));
        // A flow whose finish tag has passed has the same start tag as a flow without an entry.
        self.finish_tags.retain(|_, finish_tag| *finish_tag > start);
    }

    fn start_tag(&self, flow: &K) -> u64 {
        let finish_tag = self.finish_tags.get(flow).copied().unwrap_or(0);
        finish_tag.max(self.virtual_time)
    }
}
