//! The HTTP calls of the store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use super::http::{Call, Reply, serve};
use super::kv_state::{Change, Item, KvState};
use super::store_endpoint::StoreEndpoint;

/// The maximum number of items in one page of a range.
const MAX_PAGE_ITEMS: usize = 500;
/// The maximum size of the values in one page of a range, in bytes.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// The era of a store that was never restored.
const FIRST_ERA: u64 = 1;
/// How often a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves the store to one host, with the faults of its endpoint.
pub(crate) async fn serve_store(
    listener: TcpListener,
    state: Rc<RefCell<KvState>>,
    endpoint: StoreEndpoint,
) {
    let link = Rc::clone(&endpoint.link);
    serve(listener, link, move |call| {
        let (state, endpoint) = (Rc::clone(&state), endpoint.clone());
        async move {
            let (status, body) = answer(call, &state, endpoint).await?;
            let store_era = Some(FIRST_ERA + state.borrow().restore_count);
            Some(Reply {
                status,
                body,
                store_era,
            })
        }
    })
    .await;
}

async fn answer(
    call: Call,
    state: &Rc<RefCell<KvState>>,
    endpoint: StoreEndpoint,
) -> Option<(u16, Value)> {
    let faults = endpoint.faults.borrow().clone();
    if faults.is_unresponsive {
        return None;
    }
    if let Some(status) = faults.error_status {
        return Some((status, json!({})));
    }
    if faults.hides_directory && reads_directory(&call) {
        return None;
    }
    actix_rt::time::sleep(faults.delay).await;
    state.borrow_mut().expire();
    if call.path == "/-/kv-watch" {
        return watch(&call, state, &endpoint).await;
    }
    if call.path == "/-/kv-range" {
        endpoint.range_count.set(endpoint.range_count.get() + 1);
    }
    let is_write = call.path == "/-/kv-txn";
    if is_write {
        endpoint.commit_count.set(endpoint.commit_count.get() + 1);
    }
    let answer = run(&call, &mut state.borrow_mut());
    if is_write && faults.loses_write_answers {
        return None;
    }
    Some(answer)
}

fn reads_directory(call: &Call) -> bool {
    let prefix = call.value("prefix");
    let is_listing = prefix.starts_with("op/") || prefix.starts_with("servers/");
    call.path == "/-/kv-watch" || (call.path == "/-/kv-range" && is_listing)
}

fn run(call: &Call, state: &mut KvState) -> (u16, Value) {
    if call.method == Method::GET && call.path == "/-/kv-key" {
        return read(call.value("key"), state);
    }
    if call.method == Method::GET && call.path == "/-/kv-range" {
        return range(call.value("prefix"), call.value("after"), state);
    }
    match call.path.as_str() {
        "/-/kv-txn" => commit(&call.body, state),
        "/-/kv-lease" => {
            let ttl_ms = call.body["ttl_ms"].as_u64().unwrap_or(0);
            let lease_id = state.grant(Duration::from_millis(ttl_ms));
            (200, json!({"lease_id": lease_id, "ttl_ms": ttl_ms}))
        }
        path => lease_call(path, state),
    }
}

fn lease_call(path: &str, state: &mut KvState) -> (u16, Value) {
    let lease = path
        .rsplit('/')
        .next()
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    if path.starts_with("/-/kv-lease-end/") {
        state.revoke(lease);
        return (200, json!({}));
    }
    let status = if path.starts_with("/-/kv-keep/") && state.renew(lease) {
        200
    } else {
        404
    };
    (status, json!({}))
}

fn read(key: &str, state: &KvState) -> (u16, Value) {
    match state.items.get(key) {
        Some(item) => {
            let mut document = item_document(key, item);
            document["at_rev"] = json!(state.revision);
            (200, document)
        }
        None => (404, json!({"at_rev": state.revision})),
    }
}

fn range(prefix: &str, after: &str, state: &KvState) -> (u16, Value) {
    let mut items = Vec::new();
    let mut size_bytes = 0;
    let mut is_truncated = false;
    for (key, item) in &state.items {
        if !key.starts_with(prefix) || key.as_str() <= after {
            continue;
        }
        size_bytes += item.value.len();
        is_truncated =
            items.len() == MAX_PAGE_ITEMS || (size_bytes > MAX_PAGE_BYTES && !items.is_empty());
        if is_truncated {
            break;
        }
        items.push(item_document(key, item));
    }
    let body = json!({"items": items, "truncated": is_truncated, "at_rev": state.revision});
    (200, body)
}

fn item_document(key: &str, item: &Item) -> Value {
    json!({
        "key": key,
        "value": item.value,
        "revision": item.revision,
        "created_rev": item.created_rev,
        "lease_id": item.lease_id,
    })
}

fn commit(body: &Value, state: &mut KvState) -> (u16, Value) {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
    let expected: Vec<_> = rows("expected_rev")
        .iter()
        .map(|row| (text(row, "key"), row["revision"].as_u64().unwrap_or(0)))
        .collect();
    let writes: Vec<_> = rows("writes")
        .iter()
        .map(|row| {
            let lease = row["lease_id"].as_u64().unwrap_or(0);
            (text(row, "key"), text(row, "value"), lease)
        })
        .collect();
    let has_leases = writes
        .iter()
        .all(|(_, _, lease)| *lease == 0 || state.has_lease(*lease));
    if !has_leases {
        return (404, json!({}));
    }
    match state.commit(&expected, writes) {
        Ok(revision) => (200, json!({"revision": revision})),
        Err(_) => (412, json!({"items": []})),
    }
}

async fn watch(
    call: &Call,
    state: &Rc<RefCell<KvState>>,
    endpoint: &StoreEndpoint,
) -> Option<(u16, Value)> {
    let deadline = Instant::now() + Duration::from_millis(call.number("wait_ms"));
    loop {
        if endpoint.faults.borrow().is_unresponsive {
            return None;
        }
        if take_hanging_watch(endpoint) {
            return std::future::pending().await;
        }
        state.borrow_mut().expire();
        let (changes, revision) = {
            let state = state.borrow();
            let changes = state.changes(call.value("prefix"), call.number("after"));
            (changes, state.revision)
        };
        let Some(changes) = changes else {
            return Some((410, json!({})));
        };
        if !changes.is_empty() || Instant::now() >= deadline {
            let events: Vec<Value> = changes.iter().map(change_document).collect();
            return Some((200, json!({"events": events, "at_rev": revision})));
        }
        actix_rt::time::sleep(WATCH_POLL_INTERVAL).await;
    }
}

fn take_hanging_watch(endpoint: &StoreEndpoint) -> bool {
    let mut faults = endpoint.faults.borrow_mut();
    let hangs = faults.watches_to_hang > 0;
    faults.watches_to_hang = faults.watches_to_hang.saturating_sub(1);
    hangs
}

fn change_document(change: &Change) -> Value {
    match &change.item {
        Some(item) => item_document(&change.key, item),
        None => json!({"key": change.key, "revision": change.revision, "removed": true}),
    }
}
