//! Routes each call to a gRPC service by its path.

use std::convert::Infallible;
use std::task::{Context, Poll};

use jujubehold_wire::kv::kv_server::KvServer;
use jujubehold_wire::kv::lease_server::LeaseServer;
use jujubehold_wire::kv::watch_server::WatchServer;
use tonic::body::Body;
use tonic::codegen::{BoxFuture, Service, http};

use super::kv_service::KvService;
use super::lease_service::LeaseService;
use super::watch_service::WatchService;

/// The platform's three gRPC services, served on one port.
#[derive(Clone)]
pub(crate) struct Services {
    pub(crate) kv: KvServer<KvService>,
    pub(crate) watch: WatchServer<WatchService>,
    pub(crate) lease: LeaseServer<LeaseService>,
}

impl Service<http::Request<Body>> for Services {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = BoxFuture<Self::Response, Self::Error>;

    fn poll_ready(&mut self, _context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let path = request.uri().path();
        if path.starts_with("/etcdserverpb.Watch/") {
            self.watch.call(request)
        } else if path.starts_with("/etcdserverpb.Lease/") {
            self.lease.call(request)
        } else {
            self.kv.call(request)
        }
    }
}
