//! The in-memory store: keys with their values and revisions, and leases.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use jujubehold_wire::kv::compare::{CompareResult, CompareTarget, TargetUnion};
use jujubehold_wire::kv::event::EventType;
use jujubehold_wire::kv::request_op::Request;
use jujubehold_wire::kv::response_op::Response;
use jujubehold_wire::kv::{
    Compare, DeleteRangeRequest, DeleteRangeResponse, Event, KeyValue, PutRequest, PutResponse,
    RangeRequest, RangeResponse, RequestOp, ResponseHeader, ResponseOp, TxnRequest, TxnResponse,
};

/// The `range_end` that means a range without an upper bound.
const UNBOUNDED_END: &[u8] = b"\0";

#[derive(Debug, Clone)]
struct LeaseState {
    time_to_live: Duration,
    expires_at: Instant,
    keys: BTreeSet<Vec<u8>>,
}

/// The store. Every change gets the next revision and is recorded as events.
#[derive(Debug, Default)]
pub(crate) struct Store {
    revision: i64,
    entries: BTreeMap<Vec<u8>, KeyValue>,
    events: Vec<Event>,
    leases: BTreeMap<i64, LeaseState>,
    last_lease_id: i64,
}

impl Store {
    pub(crate) fn header(&self) -> ResponseHeader {
        ResponseHeader {
            cluster_id: 1,
            member_id: 1,
            revision: self.revision,
            raft_term: 1,
        }
    }

    pub(crate) fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the events of `revision` and all later ones.
    pub(crate) fn events_from(&self, revision: i64) -> &[Event] {
        let start = self
            .events
            .partition_point(|event| revision_of(event) < revision);
        &self.events[start..]
    }

    /// Restores an older revision and discards all later events.
    pub(crate) fn restore(&mut self, revision: i64) {
        self.events.retain(|event| revision_of(event) <= revision);
        self.entries = replay(&self.events);
        self.revision = revision.min(self.revision);
    }

    pub(crate) fn range(&self, request: &RangeRequest) -> RangeResponse {
        let is_current = request.revision == 0 || request.revision >= self.revision;
        let found = if is_current {
            select(&self.entries, &request.key, &request.range_end)
        } else {
            let end = self
                .events
                .partition_point(|event| revision_of(event) <= request.revision);
            select(
                &replay(&self.events[..end]),
                &request.key,
                &request.range_end,
            )
        };
        let limit = usize::try_from(request.limit)
            .ok()
            .filter(|limit| *limit > 0);
        let count = found.len();
        let kvs: Vec<KeyValue> = found.into_iter().take(limit.unwrap_or(count)).collect();
        RangeResponse {
            header: Some(self.header()),
            more: kvs.len() < count,
            kvs,
            count: i64::try_from(count).unwrap_or(i64::MAX),
        }
    }

    pub(crate) fn put(&mut self, request: PutRequest) -> PutResponse {
        let revision = self.revision + 1;
        let response = self.put_at(request, revision);
        self.revision = revision;
        PutResponse {
            header: Some(self.header()),
            ..response
        }
    }

    pub(crate) fn delete(&mut self, request: &DeleteRangeRequest) -> DeleteRangeResponse {
        let revision = self.revision + 1;
        let response = self.delete_at(request, revision);
        if response.deleted > 0 {
            self.revision = revision;
        }
        DeleteRangeResponse {
            header: Some(self.header()),
            ..response
        }
    }

    pub(crate) fn txn(&mut self, request: TxnRequest) -> TxnResponse {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.compare_holds(compare));
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        let revision = self.revision + 1;
        let events_before = self.events.len();
        let responses = operations
            .into_iter()
            .map(|operation| self.run_operation(operation, revision));
        let responses = responses.collect();
        if self.events.len() > events_before {
            self.revision = revision;
        }
        TxnResponse {
            header: Some(self.header()),
            succeeded,
            responses,
        }
    }

    pub(crate) fn grant(&mut self, id: i64, time_to_live: Duration, now: Instant) -> i64 {
        self.last_lease_id += 1;
        let id = if id == 0 { self.last_lease_id } else { id };
        let lease = LeaseState {
            time_to_live,
            expires_at: now + time_to_live,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease and returns its time to live, or `None` if it has expired.
    pub(crate) fn keep_alive(&mut self, id: i64, now: Instant) -> Option<Duration> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.time_to_live;
        Some(lease.time_to_live)
    }

    /// Revokes a lease and deletes its keys; returns whether the lease existed.
    pub(crate) fn revoke(&mut self, id: i64) -> bool {
        let Some(lease) = self.leases.remove(&id) else {
            return false;
        };
        for key in lease.keys {
            self.delete(&DeleteRangeRequest {
                key,
                ..DeleteRangeRequest::default()
            });
        }
        true
    }

    /// Revokes the expired leases; returns whether there were any.
    pub(crate) fn expire(&mut self, now: Instant) -> bool {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.revoke(*id);
        }
        !expired.is_empty()
    }

    fn run_operation(&mut self, operation: RequestOp, revision: i64) -> ResponseOp {
        let response = match operation.request {
            Some(Request::RequestRange(request)) => {
                Some(Response::ResponseRange(self.range(&request)))
            }
            Some(Request::RequestPut(request)) => {
                Some(Response::ResponsePut(self.put_at(request, revision)))
            }
            Some(Request::RequestDeleteRange(request)) => Some(Response::ResponseDeleteRange(
                self.delete_at(&request, revision),
            )),
            None => None,
        };
        ResponseOp { response }
    }

    fn put_at(&mut self, request: PutRequest, revision: i64) -> PutResponse {
        let previous = self.entries.get(&request.key).cloned();
        self.detach_from_lease(previous.as_ref());
        if let Some(lease) = self.leases.get_mut(&request.lease) {
            lease.keys.insert(request.key.clone());
        }
        let entry = KeyValue {
            key: request.key.clone(),
            create_revision: previous
                .as_ref()
                .map_or(revision, |entry| entry.create_revision),
            mod_revision: revision,
            version: previous.as_ref().map_or(1, |entry| entry.version + 1),
            value: request.value,
            lease: request.lease,
        };
        self.entries.insert(request.key, entry.clone());
        self.record(EventType::Put, entry, previous.clone());
        PutResponse {
            header: None,
            prev_kv: previous.filter(|_| request.prev_kv),
        }
    }

    fn delete_at(&mut self, request: &DeleteRangeRequest, revision: i64) -> DeleteRangeResponse {
        let found = select(&self.entries, &request.key, &request.range_end);
        for entry in &found {
            self.entries.remove(&entry.key);
            self.detach_from_lease(Some(entry));
            let tombstone = KeyValue {
                key: entry.key.clone(),
                mod_revision: revision,
                ..KeyValue::default()
            };
            self.record(EventType::Delete, tombstone, Some(entry.clone()));
        }
        DeleteRangeResponse {
            header: None,
            deleted: i64::try_from(found.len()).unwrap_or(i64::MAX),
            prev_kvs: if request.prev_kv { found } else { Vec::new() },
        }
    }

    fn detach_from_lease(&mut self, entry: Option<&KeyValue>) {
        let Some(entry) = entry else { return };
        if let Some(lease) = self.leases.get_mut(&entry.lease) {
            lease.keys.remove(&entry.key);
        }
    }

    fn record(&mut self, kind: EventType, entry: KeyValue, previous: Option<KeyValue>) {
        self.events.push(Event {
            r#type: kind.into(),
            kv: Some(entry),
            prev_kv: previous,
        });
    }

    fn compare_holds(&self, compare: &Compare) -> bool {
        let missing = KeyValue::default();
        let found = self.entries.get(&compare.key);
        let entry = found.unwrap_or(&missing);
        let ordering = match (compare.target(), &compare.target_union) {
            (CompareTarget::Version, Some(TargetUnion::Version(version))) => {
                entry.version.cmp(version)
            }
            (CompareTarget::Create, Some(TargetUnion::CreateRevision(revision))) => {
                entry.create_revision.cmp(revision)
            }
            (CompareTarget::Mod, Some(TargetUnion::ModRevision(revision))) => {
                entry.mod_revision.cmp(revision)
            }
            // A missing key has no value, so the comparison fails.
            (CompareTarget::Value, Some(TargetUnion::Value(_))) if found.is_none() => return false,
            (CompareTarget::Value, Some(TargetUnion::Value(value))) => entry.value.cmp(value),
            (CompareTarget::Lease, Some(TargetUnion::Lease(lease))) => entry.lease.cmp(lease),
            // The protocol treats an unset operand as zero or empty.
            (CompareTarget::Version, _) => entry.version.cmp(&0),
            (CompareTarget::Create, _) => entry.create_revision.cmp(&0),
            (CompareTarget::Mod, _) => entry.mod_revision.cmp(&0),
            (CompareTarget::Value, _) => entry.value.as_slice().cmp(&[]),
            (CompareTarget::Lease, _) => entry.lease.cmp(&0),
        };
        match compare.result() {
            CompareResult::Equal => ordering.is_eq(),
            CompareResult::Greater => ordering.is_gt(),
            CompareResult::Less => ordering.is_lt(),
            CompareResult::NotEqual => ordering.is_ne(),
        }
    }
}

/// Returns whether `key` lies in the range from `start` up to, but not including, `end`; an empty
/// `end` means `start` alone.
pub(crate) fn is_in_range(key: &[u8], start: &[u8], end: &[u8]) -> bool {
    if end.is_empty() {
        return key == start;
    }
    key >= start && (end == UNBOUNDED_END || key < end)
}

fn select(entries: &BTreeMap<Vec<u8>, KeyValue>, start: &[u8], end: &[u8]) -> Vec<KeyValue> {
    entries
        .range(start.to_vec()..)
        .take_while(|(key, _)| is_in_range(key, start, end))
        .map(|(_, entry)| entry.clone())
        .collect()
}

fn revision_of(event: &Event) -> i64 {
    event.kv.as_ref().map_or(0, |entry| entry.mod_revision)
}

fn replay(events: &[Event]) -> BTreeMap<Vec<u8>, KeyValue> {
    let mut entries = BTreeMap::new();
    for event in events {
        let Some(entry) = &event.kv else { continue };
        match event.r#type() {
            EventType::Put => entries.insert(entry.key.clone(), entry.clone()),
            EventType::Delete => entries.remove(&entry.key),
        };
    }
    entries
}
