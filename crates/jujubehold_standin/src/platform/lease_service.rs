//! The lease service: grant, revoke and keep-alive calls, and the expiry of leases.

use std::sync::Arc;
use std::time::{Duration, Instant};

use jujubehold_wire::kv::lease_server::Lease;
use jujubehold_wire::kv::{
    LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest, LeaseKeepAliveResponse,
    LeaseRevokeRequest, LeaseRevokeResponse,
};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming, async_trait};

use super::faults::CallKind;
use super::shared::Shared;

/// How often expired leases are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// How many keep-alive answers may be queued for a slow caller.
const ANSWER_QUEUE_CAPACITY: usize = 16;

pub(crate) struct LeaseService(pub(crate) Arc<Shared>);

#[async_trait]
impl Lease for LeaseService {
    async fn lease_grant(
        &self,
        request: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        self.0.admit_call(CallKind::LeaseGrant).await?;
        let request = request.into_inner();
        let time_to_live = Duration::from_secs(request.ttl.max(1).unsigned_abs());
        let response = self.0.change(|store| {
            let id = store.grant(request.id, time_to_live, Instant::now());
            let header = Some(store.header());
            LeaseGrantResponse {
                header,
                id,
                ttl: request.ttl,
                error: String::new(),
            }
        });
        self.0.respond(response)
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        self.0.admit_call(CallKind::LeaseRevoke).await?;
        let (is_known, header) = self.0.change(|store| {
            let is_known = store.revoke(request.get_ref().id);
            (is_known, store.header())
        });
        if !is_known {
            return Err(Status::not_found("no such lease"));
        }
        self.0.respond(LeaseRevokeResponse {
            header: Some(header),
        })
    }

    type LeaseKeepAliveStream = ReceiverStream<Result<LeaseKeepAliveResponse, Status>>;

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let (sender, receiver) = mpsc::channel(ANSWER_QUEUE_CAPACITY);
        let shared = Arc::clone(&self.0);
        let mut requests = request.into_inner();
        tokio::spawn(async move {
            while let Ok(Some(request)) = requests.message().await {
                let answer = keep_alive(&shared, request.id).await;
                let is_last = answer.is_err();
                if sender.send(answer).await.is_err() || is_last {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

async fn keep_alive(shared: &Shared, id: i64) -> Result<LeaseKeepAliveResponse, Status> {
    shared.admit_call(CallKind::LeaseKeepAlive).await?;
    let mut store = shared.store();
    // The protocol reports an expired lease as a time to live of 0.
    let time_to_live = store.keep_alive(id, Instant::now()).unwrap_or_default();
    let ttl = i64::try_from(time_to_live.as_secs()).unwrap_or(i64::MAX);
    Ok(LeaseKeepAliveResponse {
        header: Some(store.header()),
        id,
        ttl,
    })
}

/// Removes expired leases periodically until the runtime ends.
pub(crate) async fn expire(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let has_expired = shared.store().expire(Instant::now());
        if has_expired {
            shared.change(|_| ());
        }
    }
}
