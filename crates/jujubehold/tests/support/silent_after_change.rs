//! A key-value service that stops answering once it has received a change.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};

use jujubehold_wire::kv::kv_server::{Kv, KvServer};
use jujubehold_wire::kv::{
    DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest, RangeResponse,
    TxnRequest, TxnResponse,
};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status, transport::Server};

#[derive(Default)]
struct SilentAfterChange {
    has_change: AtomicBool,
}

/// Starts the service on a free loopback port. It runs until the test ends.
pub(crate) async fn start() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has free ports");
    let address = listener.local_addr().expect("a listener has an address");
    let service = KvServer::new(SilentAfterChange::default());
    let incoming = TcpListenerStream::new(listener);
    let server = Server::builder().serve_with_incoming(service, incoming);
    actix_rt::spawn(server);
    address
}

#[tonic::async_trait]
impl Kv for SilentAfterChange {
    async fn range(&self, _: Request<RangeRequest>) -> Result<Response<RangeResponse>, Status> {
        if self.has_change.load(Ordering::SeqCst) {
            return Err(Status::unavailable("silent"));
        }
        Ok(Response::new(RangeResponse::default()))
    }

    async fn txn(&self, _: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        self.has_change.store(true, Ordering::SeqCst);
        Err(Status::unavailable("silent"))
    }

    async fn put(&self, _: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        Err(Status::unimplemented("put"))
    }

    async fn delete_range(
        &self,
        _: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        Err(Status::unimplemented("delete_range"))
    }
}
