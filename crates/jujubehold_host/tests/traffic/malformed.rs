//! Tests that malformed, oversized and truncated messages end their own session only.

use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_pg::{query, startup_message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::raw_caller::{RawCaller, error_code};
use crate::support::{Fixture, HANG_TIMEOUT, text};

async fn start_session(fixture: &Fixture) -> TcpStream {
    let mut stream = TcpStream::connect(fixture.address).await.unwrap();
    let parameters = [("user", "clerk"), ("database", "ledger")]
        .map(|(name, value)| (name.to_owned(), value.to_owned()));
    stream
        .write_all(&startup_message(parameters.into()))
        .await
        .unwrap();
    let mut bytes = [0; 1024];
    let mut count = 0;
    while count < 6 || bytes[count - 6] != b'Z' {
        count += stream.read(&mut bytes[count..]).await.unwrap();
    }
    stream
}

async fn is_closed(mut stream: TcpStream) -> bool {
    let mut rest = Vec::new();
    let read = stream.read_to_end(&mut rest);
    // A connection reset closes it as well.
    tokio::time::timeout(HANG_TIMEOUT, read).await.is_ok()
}

#[actix_rt::test]
async fn bad_messages_end_their_session() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let bad: [&[u8]; 5] = [
        // An invalid length.
        b"Q\0\0\0\x01",
        // A length over the limit.
        b"Q\x7f\xff\xff\xff",
        // An unknown tag.
        b"?\0\0\0\x04",
        // A Parse whose name has no terminator.
        b"P\0\0\0\x06ab",
        // A function call.
        b"F\0\0\0\x04",
    ];
    for bytes in bad {
        let mut stream = start_session(&fixture).await;
        stream.write_all(bytes).await.unwrap();
        assert!(is_closed(stream).await, "{bytes:?}");
    }
    let client = fixture.connect().await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
}

#[actix_rt::test]
async fn half_a_message_runs_nothing() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let mut stream = start_session(&fixture).await;
    let update = query("UPDATE counter SET n = 1");
    let half = &update.bytes()[..update.bytes().len() - 4];
    stream.write_all(half).await.unwrap();
    stream.shutdown().await.unwrap();
    assert!(is_closed(stream).await);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let client = fixture.connect().await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "0");
}

#[actix_rt::test]
async fn a_malformed_startup_message_closes_the_connection() {
    let fixture = Fixture::start(ServiceConfig::default()).await;
    for bytes in [&b"GET / HTTP/1.0\r\n\r\n"[..], &[0, 0, 0, 9, 0, 3, 0, 0, 1]] {
        let mut stream = TcpStream::connect(fixture.address).await.unwrap();
        stream.write_all(bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        assert!(is_closed(stream).await);
    }
}

#[actix_rt::test]
async fn a_partial_answer_ends_the_session_and_is_not_completed_by_another_instance() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    let values = vec!["(1)"; 299].join(", ");
    crate::support::run(&client, &format!("INSERT INTO counter VALUES {values}")).await;
    fixture.wait_applied().await;
    let mut stream = start_session(&fixture).await;
    let sql = format!("SELECT '{}' FROM counter a, counter b", "x".repeat(400));
    stream.write_all(query(&sql).bytes()).await.unwrap();
    let mut first = [0; 4096];
    let read = stream.read(&mut first);
    let count = tokio::time::timeout(HANG_TIMEOUT, read)
        .await
        .unwrap()
        .unwrap();
    assert_eq!(first[0], b'T');
    for database in fixture.databases.iter() {
        database.kill();
    }
    let mut answer = first[..count].to_vec();
    let rest = stream.read_to_end(&mut answer);
    tokio::time::timeout(HANG_TIMEOUT, rest)
        .await
        .unwrap()
        .unwrap();
    let mut tags = Vec::new();
    let mut bytes = bytes::BytesMut::from(&answer[..]);
    let mut last = None;
    while let Some(frame) = jujubehold_pg::Frame::cut(&mut bytes).unwrap() {
        tags.push(frame.tag());
        last = Some(frame);
    }
    assert!(!tags.contains(&b'C'), "the answer must not look complete");
    assert!(!tags.contains(&b'Z'));
    let last = last.unwrap();
    assert_eq!(last.tag(), b'E');
    let error = String::from_utf8_lossy(last.body()).into_owned();
    assert!(error.contains("FATAL"), "{error}");
}

// A text that is not UTF-8 was classified as an empty one, and a write in it ran as a read.
#[actix_rt::test]
async fn a_text_that_is_not_utf8_is_not_sent() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let text = b"UPDATE counter SET n = 1 -- \xff\0";
    let mut caller = RawCaller::connect(&fixture, &[]).await;
    assert_eq!(error_code(&caller.put(b'Q', &[text]).ask().await), "08P01");
    let mut caller = RawCaller::connect(&fixture, &[]).await;
    caller.put(b'P', &[b"\0", text, b"\0\0"]);
    assert_eq!(
        error_code(&caller.bind("", &[]).execute().sync().await),
        "08P01"
    );
    assert!(fixture.statement_runs().is_empty());
}
