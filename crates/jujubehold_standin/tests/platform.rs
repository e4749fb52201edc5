//! Tests compare-and-swap, watches, leases and faults of the stand-in platform.

use std::time::Duration;

use jujubehold_standin::platform::{CallKind, Outage, Platform, PlatformSettings};
use jujubehold_wire::kv::compare::{CompareResult, CompareTarget, TargetUnion};
use jujubehold_wire::kv::kv_client::KvClient;
use jujubehold_wire::kv::lease_client::LeaseClient;
use jujubehold_wire::kv::request_op::Request;
use jujubehold_wire::kv::watch_client::WatchClient;
use jujubehold_wire::kv::watch_request::RequestUnion;
use jujubehold_wire::kv::{
    Compare, LeaseGrantRequest, LeaseKeepAliveRequest, PutRequest, RangeRequest, RequestOp,
    TxnRequest, WatchCreateRequest, WatchRequest, WatchResponse,
};
use tonic::transport::Channel;
use tonic::{Code, Streaming};

const KEY: &[u8] = b"/jujubehold/services/ledger";
/// The wait after which a test fails as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(20);

async fn start() -> (Platform, Channel) {
    let platform = Platform::start(PlatformSettings::default()).await.unwrap();
    let channel = Channel::from_shared(format!("http://{}", platform.address())).unwrap();
    (platform, channel.connect().await.unwrap())
}

/// Returns a compare-and-swap that writes `value` if the key's revision is `expected`.
fn swap(expected: i64, value: &str) -> TxnRequest {
    let put = PutRequest {
        key: KEY.to_vec(),
        value: value.into(),
        ..PutRequest::default()
    };
    TxnRequest {
        compare: vec![Compare {
            result: CompareResult::Equal.into(),
            target: CompareTarget::Mod.into(),
            key: KEY.to_vec(),
            target_union: Some(TargetUnion::ModRevision(expected)),
        }],
        success: vec![RequestOp {
            request: Some(Request::RequestPut(put)),
        }],
        failure: Vec::new(),
    }
}

async fn value(kv: &mut KvClient<Channel>) -> Option<(String, i64)> {
    let request = RangeRequest {
        key: KEY.to_vec(),
        ..RangeRequest::default()
    };
    let response = kv.range(request).await.unwrap().into_inner();
    let entry = response.kvs.into_iter().next()?;
    Some((String::from_utf8(entry.value).unwrap(), entry.mod_revision))
}

async fn watch(channel: Channel, start_revision: i64) -> Streaming<WatchResponse> {
    let create = WatchCreateRequest {
        key: b"/jujubehold/".to_vec(),
        range_end: b"/jujubehold0".to_vec(),
        start_revision,
        ..WatchCreateRequest::default()
    };
    let request = WatchRequest {
        request_union: Some(RequestUnion::CreateRequest(create)),
    };
    let requests =
        tokio_stream::StreamExt::chain(tokio_stream::once(request), tokio_stream::pending());
    let mut answers = WatchClient::new(channel)
        .watch(requests)
        .await
        .unwrap()
        .into_inner();
    assert!(next(&mut answers).await.unwrap().created);
    answers
}

async fn next(answers: &mut Streaming<WatchResponse>) -> Result<WatchResponse, tonic::Status> {
    let message = tokio::time::timeout(HANG_TIMEOUT, answers.message())
        .await
        .expect("a response arrives in time");
    message.map(|message| message.expect("the watch stream is open"))
}

#[actix_rt::test]
async fn only_one_of_two_swaps_at_the_same_revision_succeeds() {
    let (_platform, channel) = start().await;
    let mut kv = KvClient::new(channel);
    assert!(kv.txn(swap(0, "a")).await.unwrap().into_inner().succeeded);
    assert!(!kv.txn(swap(0, "b")).await.unwrap().into_inner().succeeded);
    assert!(kv.txn(swap(1, "c")).await.unwrap().into_inner().succeeded);
    assert_eq!(value(&mut kv).await, Some(("c".to_owned(), 2)));
}

#[actix_rt::test]
async fn a_watch_reports_every_change_from_its_start_revision() {
    let (_platform, channel) = start().await;
    let mut kv = KvClient::new(channel.clone());
    kv.txn(swap(0, "a")).await.unwrap();
    let mut answers = watch(channel, 1).await;
    kv.txn(swap(1, "b")).await.unwrap();
    let mut values = Vec::new();
    while values.len() < 2 {
        for event in next(&mut answers).await.unwrap().events {
            values.push(String::from_utf8(event.kv.unwrap().value).unwrap());
        }
    }
    assert_eq!(values, ["a", "b"]);
}

#[actix_rt::test]
async fn an_expired_lease_deletes_its_keys() {
    let (_platform, channel) = start().await;
    let mut kv = KvClient::new(channel.clone());
    let mut leases = LeaseClient::new(channel.clone());
    let granted = leases
        .lease_grant(LeaseGrantRequest { ttl: 1, id: 0 })
        .await
        .unwrap();
    let lease = granted.into_inner().id;
    let put = PutRequest {
        key: KEY.to_vec(),
        lease,
        ..PutRequest::default()
    };
    kv.put(put).await.unwrap();
    let mut answers = watch(channel, 0).await;
    let event = next(&mut answers).await.unwrap().events.remove(0);
    assert_eq!(
        event.r#type,
        i32::from(jujubehold_wire::kv::event::EventType::Delete)
    );
    assert_eq!(value(&mut kv).await, None);
    let renewal = tokio_stream::once(LeaseKeepAliveRequest { id: lease });
    let mut renewed = leases.lease_keep_alive(renewal).await.unwrap().into_inner();
    assert_eq!(renewed.message().await.unwrap().unwrap().ttl, 0);
}

#[actix_rt::test]
async fn a_change_takes_effect_even_if_its_answer_is_lost() {
    let (platform, channel) = start().await;
    let mut kv = KvClient::new(channel);
    platform.lose_answers(1);
    assert_eq!(
        kv.txn(swap(0, "a")).await.unwrap_err().code(),
        Code::Unavailable
    );
    assert_eq!(value(&mut kv).await, Some(("a".to_owned(), 1)));
}

#[actix_rt::test]
async fn an_outage_refuses_or_hangs_and_ends() {
    let (platform, channel) = start().await;
    let mut kv = KvClient::new(channel.clone());
    let mut answers = watch(channel, 0).await;
    platform.set_outage(Outage::Refuse);
    assert_eq!(
        kv.txn(swap(0, "a")).await.unwrap_err().code(),
        Code::Unavailable
    );
    assert!(next(&mut answers).await.is_err());
    platform.set_outage(Outage::Hang);
    let mut other = kv.clone();
    let call = other.txn(swap(0, "b"));
    tokio::pin!(call);
    assert!(
        tokio::time::timeout(Duration::from_millis(50), &mut call)
            .await
            .is_err()
    );
    platform.set_outage(Outage::None);
    assert!(call.await.unwrap().into_inner().succeeded);
    assert_eq!(platform.counts().get(&CallKind::Txn), Some(&2));
    assert_eq!(platform.counts().get(&CallKind::Watch), Some(&1));
}

#[actix_rt::test]
async fn a_restore_reverts_to_an_older_revision() {
    let (platform, channel) = start().await;
    let mut kv = KvClient::new(channel);
    kv.txn(swap(0, "a")).await.unwrap();
    kv.txn(swap(1, "b")).await.unwrap();
    platform.restore(1);
    assert_eq!(value(&mut kv).await, Some(("a".to_owned(), 1)));
    assert_eq!(platform.revision(), 1);
}
