//! A client for the platform's key-value service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use jujubehold_wire::kv;
use metrics::counter;
use prost::Message;
use thiserror::Error;
use tokio_stream::{Stream, StreamExt};
use tonic::transport::{Channel, Endpoint};

/// The most keys in one page of a list, so that a response stays under a few megabytes.
const LIST_PAGE_KEYS: i64 = 500;
/// The size limit of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// How often an open connection is probed, so that a broken one is detected.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// The timeout of such a probe.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a call failed.
#[derive(Debug, Error)]
pub enum KvError {
    /// The service could not be reached, failed the call, or timed out; a change may have taken
    /// effect.
    #[error("the platform's key-value service did not answer: {0}")]
    Unavailable(String),
}

/// A client of the key-value service.
///
/// It uses one of the service's addresses until a call to it fails, then the next one.
#[derive(Debug, Clone)]
pub struct KvClient {
    channels: Vec<Channel>,
    active_index: Arc<AtomicUsize>,
    call_timeout: Duration,
}

impl KvClient {
    /// Creates a client of the service at `address`, which connects at its first call.
    pub fn new(address: SocketAddr, call_timeout: Duration) -> Self {
        Self::with_addresses(&[address], call_timeout)
    }

    /// Creates a client of the service at any of `addresses`, of which there must be at least one.
    ///
    /// # Panics
    /// Never panics, because a socket address always forms a valid URI.
    pub fn with_addresses(addresses: &[SocketAddr], call_timeout: Duration) -> Self {
        let channels = addresses
            .iter()
            .map(|address| {
                Endpoint::from_shared(format!("http://{address}"))
                    .expect("a socket address forms a valid URI")
                    .connect_timeout(call_timeout)
                    .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
                    .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
                    .connect_lazy()
            })
            .collect();
        Self {
            channels,
            active_index: Arc::default(),
            call_timeout,
        }
    }

    /// Returns the entries of all keys that start with `prefix`, and the revision of the first
    /// page.
    ///
    /// A watch that starts at the next revision misses no change.
    ///
    /// # Errors
    /// Returns an error if the service did not answer.
    pub async fn list(&mut self, prefix: &str) -> Result<(Vec<kv::KeyValue>, i64), KvError> {
        let mut start = prefix.as_bytes().to_vec();
        let mut found = Vec::new();
        let mut revision = None;
        loop {
            let request = kv::RangeRequest {
                key: start,
                range_end: prefix_end(prefix),
                limit: LIST_PAGE_KEYS,
                ..Default::default()
            };
            let response = self.range(request).await?;
            let read_at = response.header.map_or(0, |header| header.revision);
            let revision = *revision.get_or_insert(read_at);
            let last = response.kvs.last().map(|entry| entry.key.clone());
            found.extend(response.kvs);
            match last.filter(|_| response.more) {
                Some(mut last) => {
                    last.push(0);
                    start = last;
                }
                None => return Ok((found, revision)),
            }
        }
    }

    /// Returns the entry of one key; `None` if there is no such key.
    ///
    /// # Errors
    /// Returns an error if the service did not answer.
    pub async fn get(&mut self, key: &str) -> Result<Option<kv::KeyValue>, KvError> {
        let request = kv::RangeRequest {
            key: key.into(),
            ..Default::default()
        };
        Ok(self.range(request).await?.kvs.pop())
    }

    /// Writes `value` to `key` if the key's modification revision is `expected`, 0 for a new key;
    /// returns whether it was written.
    ///
    /// # Errors
    /// Returns an error if the service did not answer; the change may have taken effect.
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
        count_call("txn", request.encoded_len());
        let (index, mut client) = self.client();
        let call = client.txn(request);
        let response = self.within_timeout(index, call).await?;
        Ok(response.into_inner().succeeded)
    }

    /// Watches all keys that start with one of `prefixes`, from `revision` on, over one stream.
    ///
    /// # Errors
    /// Returns an error if the service did not answer.
    pub async fn watch(
        &mut self,
        prefixes: &[&str],
        revision: i64,
    ) -> Result<impl Stream<Item = Result<kv::WatchResponse, KvError>> + use<>, KvError> {
        let requests: Vec<_> = prefixes
            .iter()
            .map(|prefix| kv::WatchRequest {
                request_union: Some(kv::watch_request::RequestUnion::CreateRequest(
                    kv::WatchCreateRequest {
                        key: (*prefix).into(),
                        range_end: prefix_end(prefix),
                        start_revision: revision,
                        ..Default::default()
                    },
                )),
            })
            .collect();
        count_call("watch", requests.iter().map(Message::encoded_len).sum());
        // The stream of requests stays open, because its end would end the watches.
        let requests = tokio_stream::iter(requests).chain(tokio_stream::pending());
        let index = self.active_index.load(Ordering::Relaxed) % self.channels.len();
        let mut client = kv::watch_client::WatchClient::new(self.channels[index].clone())
            .max_decoding_message_size(MAX_RESPONSE_BYTES);
        let call = client.watch(requests);
        let stream = self.within_timeout(index, call).await?.into_inner();
        Ok(stream.map(|response| response.map_err(unavailable)))
    }

    async fn range(&self, request: kv::RangeRequest) -> Result<kv::RangeResponse, KvError> {
        count_call("range", request.encoded_len());
        let (index, mut client) = self.client();
        let call = client.range(request);
        Ok(self.within_timeout(index, call).await?.into_inner())
    }

    fn client(&self) -> (usize, kv::kv_client::KvClient<Channel>) {
        let index = self.active_index.load(Ordering::Relaxed) % self.channels.len();
        let client = kv::kv_client::KvClient::new(self.channels[index].clone())
            .max_decoding_message_size(MAX_RESPONSE_BYTES);
        (index, client)
    }

    /// Awaits a call within the call timeout; a failure moves later calls to the next address.
    async fn within_timeout<T>(
        &self,
        index: usize,
        call: impl Future<Output = Result<T, tonic::Status>>,
    ) -> Result<T, KvError> {
        let outcome = match tokio::time::timeout(self.call_timeout, call).await {
            Ok(outcome) => outcome.map_err(unavailable),
            Err(_) => Err(KvError::Unavailable("no answer in time".to_owned())),
        };
        if outcome.is_err() {
            counter!("jujubehold_platform_failures_total").increment(1);
            self.active_index.store(index + 1, Ordering::Relaxed);
        }
        outcome
    }
}

fn count_call(kind: &'static str, bytes: usize) {
    counter!("jujubehold_platform_calls_total", "kind" => kind).increment(1);
    counter!("jujubehold_platform_sent_bytes_total", "kind" => kind).increment(bytes as u64);
}

#[expect(clippy::needless_pass_by_value, reason = "the form that map_err calls")]
fn unavailable(status: tonic::Status) -> KvError {
    KvError::Unavailable(status.to_string())
}

/// Returns the first key after all keys that start with `prefix`.
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
