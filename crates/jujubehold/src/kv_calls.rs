//! The few calls to the platform's key-value service that operators' commands make.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_wire::kv::compare::{CompareResult, CompareTarget, TargetUnion};
use jujubehold_wire::kv::kv_client::KvClient;
use jujubehold_wire::kv::request_op::Request;
use jujubehold_wire::kv::{Compare, KeyValue, PutRequest, RangeRequest, RequestOp, TxnRequest};
use thiserror::Error;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

/// Why a call did not give an answer.
#[derive(Debug, Error)]
pub enum KvCallError {
    /// The request never left: no address took a connection.
    #[error("the platform's service could not be reached: {0}")]
    NotSent(String),
    /// The request left and no answer came, so that a write may have been done.
    #[error("the platform's service gave no answer: {0}")]
    NoAnswer(String),
    /// The service refused the request.
    #[error("the platform's service refused: {0}")]
    Refused(String),
}

/// A client of the key-value service.
#[derive(Debug)]
pub struct KvCalls {
    addresses: Vec<SocketAddr>,
    call_timeout: Duration,
}

impl KvCalls {
    /// Calls go to the first of `addresses` that takes a connection, each within `call_timeout`.
    pub fn new(addresses: Vec<SocketAddr>, call_timeout: Duration) -> Self {
        Self {
            addresses,
            call_timeout,
        }
    }

    /// Reads one key.
    ///
    /// # Errors
    /// The service gave no answer.
    pub async fn read(&self, key: &str) -> Result<Option<KeyValue>, KvCallError> {
        let request = RangeRequest {
            key: key.into(),
            ..Default::default()
        };
        Ok(self.range(request).await?.into_iter().next())
    }

    /// Reads every key that starts with `prefix`.
    ///
    /// # Errors
    /// The service gave no answer.
    pub async fn read_prefix(&self, prefix: &str) -> Result<Vec<KeyValue>, KvCallError> {
        let request = RangeRequest {
            key: prefix.into(),
            range_end: prefix_end(prefix),
            ..Default::default()
        };
        self.range(request).await
    }

    /// Writes `value` when the key still stands at `mod_revision`, 0 for a key that is not there;
    /// returns whether it did.
    ///
    /// # Errors
    /// The service gave no answer; after [`KvCallError::NoAnswer`] the write may have been done.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        mod_revision: i64,
        value: &str,
    ) -> Result<bool, KvCallError> {
        let compare = Compare {
            result: CompareResult::Equal.into(),
            target: CompareTarget::Mod.into(),
            key: key.into(),
            target_union: Some(TargetUnion::ModRevision(mod_revision)),
        };
        let put = PutRequest {
            key: key.into(),
            value: value.into(),
            ..Default::default()
        };
        let request = TxnRequest {
            compare: vec![compare],
            success: vec![RequestOp {
                request: Some(Request::RequestPut(put)),
            }],
            failure: Vec::new(),
        };
        let mut client = self.connect().await?;
        let response = client
            .txn(request)
            .await
            .map_err(|status| from_status(&status))?;
        Ok(response.into_inner().succeeded)
    }

    async fn range(&self, request: RangeRequest) -> Result<Vec<KeyValue>, KvCallError> {
        let mut client = self.connect().await?;
        let response = client
            .range(request)
            .await
            .map_err(|status| from_status(&status))?;
        Ok(response.into_inner().kvs)
    }

    async fn connect(&self) -> Result<KvClient<Channel>, KvCallError> {
        let mut last = String::from("no address is given");
        for address in &self.addresses {
            let endpoint = Endpoint::from_shared(format!("http://{address}"))
                .map_err(|error| KvCallError::NotSent(error.to_string()))?
                .connect_timeout(self.call_timeout)
                .timeout(self.call_timeout);
            match endpoint.connect().await {
                Ok(channel) => return Ok(KvClient::new(channel)),
                Err(error) => last = format!("{address}: {error}"),
            }
        }
        Err(KvCallError::NotSent(last))
    }
}

fn from_status(status: &Status) -> KvCallError {
    match status.code() {
        Code::InvalidArgument
        | Code::PermissionDenied
        | Code::Unauthenticated
        | Code::Unimplemented
        | Code::ResourceExhausted => KvCallError::Refused(status.to_string()),
        _ => KvCallError::NoAnswer(status.to_string()),
    }
}

/// The first key after all those that start with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        // Prefixes here are ASCII, so the last byte can always grow.
        *last += 1;
    }
    end
}
