//! The watch service.

use std::sync::Arc;

use jujubehold_wire::kv::watch_request::RequestUnion;
use jujubehold_wire::kv::watch_server::Watch;
use jujubehold_wire::kv::{Event, WatchCreateRequest, WatchRequest, WatchResponse};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming, async_trait};

use super::faults::{CallKind, Outage};
use super::shared::Shared;
use super::store::is_in_range;

/// How many responses may be queued for a slow watcher.
const WATCH_QUEUE_CAPACITY: usize = 64;

type WatchSender = mpsc::Sender<Result<WatchResponse, Status>>;

pub(crate) struct WatchService(pub(crate) Arc<Shared>);

#[async_trait]
impl Watch for WatchService {
    type WatchStream = ReceiverStream<Result<WatchResponse, Status>>;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        self.0.check_outage().await?;
        let (sender, receiver) = mpsc::channel(WATCH_QUEUE_CAPACITY);
        tokio::spawn(serve(Arc::clone(&self.0), request.into_inner(), sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

async fn serve(shared: Arc<Shared>, mut requests: Streaming<WatchRequest>, sender: WatchSender) {
    let mut watches = tokio::task::JoinSet::new();
    let mut tasks_by_id = std::collections::BTreeMap::new();
    let mut next_id = 1;
    loop {
        let request = tokio::select! {
            request = requests.message() => request,
            () = wait_until_broken(&shared) => {
                // The error is best effort: the watcher may already be gone.
                let _ = sender.try_send(Err(Status::unavailable("the watch was lost")));
                return;
            }
            () = sender.closed() => return,
        };
        let Ok(Some(request)) = request else { return };
        match request.request_union {
            Some(RequestUnion::CreateRequest(create)) => {
                let watch_id = if create.watch_id == 0 {
                    next_id
                } else {
                    create.watch_id
                };
                next_id = next_id.max(watch_id) + 1;
                let shared = Arc::clone(&shared);
                let task = watches.spawn(watch(shared, create, watch_id, sender.clone()));
                tasks_by_id.insert(watch_id, task);
            }
            Some(RequestUnion::CancelRequest(cancel)) => {
                if let Some(task) = tasks_by_id.remove(&cancel.watch_id) {
                    task.abort();
                }
                let header = Some(shared.store().header());
                let response = WatchResponse {
                    header,
                    watch_id: cancel.watch_id,
                    canceled: true,
                    ..WatchResponse::default()
                };
                if sender.send(Ok(response)).await.is_err() {
                    return;
                }
            }
            None => {}
        }
    }
}

/// Waits for a refusing outage or a restore, each of which ends all watches.
async fn wait_until_broken(shared: &Shared) {
    let mut faults = shared.faults.subscribe();
    let mut restores = shared.restores.subscribe();
    tokio::select! {
        _ = faults.wait_for(|faults| faults.outage == Outage::Refuse) => {}
        _ = restores.changed() => {}
    }
}

async fn watch(
    shared: Arc<Shared>,
    create: WatchCreateRequest,
    watch_id: i64,
    sender: WatchSender,
) {
    if shared.admit_call(CallKind::Watch).await.is_err() {
        return;
    }
    let mut changes = shared.changes.subscribe();
    let (header, current_revision) = {
        let store = shared.store();
        (store.header(), store.revision())
    };
    let mut next_revision = if create.start_revision > 0 {
        create.start_revision
    } else {
        current_revision + 1
    };
    let created = WatchResponse {
        header: Some(header),
        watch_id,
        created: true,
        ..WatchResponse::default()
    };
    if sender.send(Ok(created)).await.is_err() {
        return;
    }
    loop {
        changes.borrow_and_update();
        if shared.check_outage().await.is_err() {
            return;
        }
        let (header, events) = {
            let store = shared.store();
            let events = matching_events(store.events_from(next_revision), &create);
            next_revision = next_revision.max(store.revision() + 1);
            (store.header(), events)
        };
        if !events.is_empty() {
            let response = WatchResponse {
                header: Some(header),
                watch_id,
                events,
                ..WatchResponse::default()
            };
            if sender.send(Ok(response)).await.is_err() {
                return;
            }
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn matching_events(events: &[Event], create: &WatchCreateRequest) -> Vec<Event> {
    let is_wanted = |event: &&Event| {
        event
            .kv
            .as_ref()
            .is_some_and(|entry| is_in_range(&entry.key, &create.key, &create.range_end))
    };
    let with_previous = |event: &Event| {
        let previous = event.prev_kv.clone().filter(|_| create.prev_kv);
        Event {
            prev_kv: previous,
            ..event.clone()
        }
    };
    events.iter().filter(is_wanted).map(with_previous).collect()
}
