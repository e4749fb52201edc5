//! Calls of the platform's key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_wire::kv;
use thiserror::Error;
use tonic::transport::{Channel, Endpoint};

/// Why a call gave nothing.
#[derive(Debug, Error)]
pub enum KvError {
    /// The service can't be reached, or did not answer in time; a change may have taken effect.
    #[error("the platform's service did not answer: {0}")]
    Unavailable(String),
}

/// A client of the key-value service.
#[derive(Debug, Clone)]
pub struct KvClient {
    kv: kv::kv_client::KvClient<Channel>,
}

impl KvClient {
    /// A client of the service at `address`; it connects at the first call.
    ///
    /// # Panics
    /// Never: an address and a port always make a good URI.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .expect("an address is a good URI")
            .connect_timeout(call_timeout)
            .timeout(call_timeout)
            .connect_lazy();
        Self {
            kv: kv::kv_client::KvClient::new(channel),
        }
    }

    /// Every key that starts with `prefix`, and the revision at which they were read.
    ///
    /// # Errors
    /// The service did not answer.
    pub async fn list(&mut self, prefix: &str) -> Result<(Vec<kv::KeyValue>, i64), KvError> {
        let request = kv::RangeRequest {
            key: prefix.into(),
            range_end: prefix_end(prefix),
            ..Default::default()
        };
        let response = self
            .kv
            .range(request)
            .await
            .map_err(unavailable)?
            .into_inner();
        Ok((
            response.kvs,
            response.header.map_or(0, |header| header.revision),
        ))
    }

    /// Writes `value` under `key` if its modification revision is `expected`, 0 for a new key;
    /// returns whether it was written.
    ///
    /// # Errors
    /// The service did not answer; the change may have taken effect.
    pub async fn put_if(
        &mut self,
        key: &str,
        expected: i64,
        value: Vec<u8>,
    ) -> Result<bool, KvError> {
        let compare = kv::Compare {
            result: kv::compare::CompareResult::Equal.into(),
            target: kv::compare::CompareTarget::Mod.into(),
            key: key.into(),
            target_union: Some(kv::compare::TargetUnion::ModRevision(expected)),
        };
        let put = kv::PutRequest {
            key: key.into(),
            value,
            ..Default::default()
        };
        let request = kv::TxnRequest {
            compare: vec![compare],
            success: vec![kv::RequestOp {
                request: Some(kv::request_op::Request::RequestPut(put)),
            }],
            failure: Vec::new(),
        };
        Ok(self
            .kv
            .txn(request)
            .await
            .map_err(unavailable)?
            .into_inner()
            .succeeded)
    }
}

#[expect(clippy::needless_pass_by_value, reason = "the form that map_err calls")]
fn unavailable(status: tonic::Status) -> KvError {
    KvError::Unavailable(status.to_string())
}

/// The first key after every key that starts with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}
