//! The key-value service: range, put, delete and transaction calls.

use std::sync::Arc;

use jujubehold_wire::kv::kv_server::Kv;
use jujubehold_wire::kv::{
    DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest, RangeResponse,
    TxnRequest, TxnResponse,
};
use tonic::{Request, Response, Status, async_trait};

use super::faults::CallKind;
use super::shared::Shared;

pub(crate) struct KvService(pub(crate) Arc<Shared>);

#[async_trait]
impl Kv for KvService {
    async fn range(
        &self,
        request: Request<RangeRequest>,
    ) -> Result<Response<RangeResponse>, Status> {
        self.0.admit_call(CallKind::Range).await?;
        Ok(Response::new(self.0.store().range(request.get_ref())))
    }

    async fn put(&self, request: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        self.0.admit_call(CallKind::Put).await?;
        let response = self.0.change(|store| store.put(request.into_inner()));
        self.0.respond(response)
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        self.0.admit_call(CallKind::Delete).await?;
        let response = self.0.change(|store| store.delete(request.get_ref()));
        self.0.respond(response)
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        self.0.admit_call(CallKind::Txn).await?;
        let response = self.0.change(|store| store.txn(request.into_inner()));
        self.0.respond(response)
    }
}
