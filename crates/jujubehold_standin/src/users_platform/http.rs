//! A minimal HTTP server for JSON calls.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;

use super::thin_link::{ThinBody, ThinLink};

/// A parsed HTTP call.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: Vec<(String, String)>,
    pub(crate) fencing_token: u64,
    pub(crate) body: Value,
}

/// The answer to a call.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) body: Value,
    /// The era that the store states, if the store answers.
    pub(crate) store_era: Option<u64>,
}

/// The answer to a call, or `None` to leave the call unanswered.
pub(crate) type Answer = Option<Reply>;

/// Accepts connections on `listener` and answers their calls over `link` until the future is
/// dropped.
pub(crate) async fn serve<F, R>(listener: TcpListener, link: Rc<ThinLink>, answer: F)
where
    F: Fn(Call) -> R + 'static,
    R: Future<Output = Answer> + 'static,
{
    let answer = Rc::new(answer);
    while let Ok((stream, _)) = listener.accept().await {
        let answer = Rc::clone(&answer);
        let link = Rc::clone(&link);
        actix_rt::spawn(async move {
            let service =
                service_fn(move |request| respond(request, Rc::clone(&link), Rc::clone(&answer)));
            // A caller that gives up closes its connection, which is no error here.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

async fn respond<F, R>(
    request: Request<Incoming>,
    link: Rc<ThinLink>,
    answer: Rc<F>,
) -> Result<Response<ThinBody>, Infallible>
where
    F: Fn(Call) -> R,
    R: Future<Output = Answer>,
{
    let Some(reply) = answer(read_call(request).await).await else {
        // A lost answer leaves the caller waiting.
        return std::future::pending().await;
    };
    let body = ThinBody::new(link, Bytes::from(reply.body.to_string()));
    let mut response = Response::new(body);
    if let Ok(status) = reply.status.try_into() {
        *response.status_mut() = status;
    }
    if let Some(era) = reply.store_era {
        response.headers_mut().insert("Store-Era", era.into());
    }
    Ok(response)
}

async fn read_call(request: Request<Incoming>) -> Call {
    let (head, body) = request.into_parts();
    let body = match body.collect().await {
        Ok(body) => serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null),
        Err(_) => Value::Null,
    };
    let query = head.uri.query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let token = head.headers.get("X-Fence-Token");
    Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: pairs
            .map(|(name, value)| (name.to_owned(), unescape(value)))
            .collect(),
        fencing_token: token
            .and_then(|token| token.to_str().ok()?.parse().ok())
            .unwrap_or(0),
        body,
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let hex_digits = (*first == b'%').then(|| tail.get(..2)).flatten();
        let number = hex_digits
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(number.unwrap_or(*first));
        rest = if number.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl Call {
    /// Returns a query parameter, or an empty string if it is missing.
    pub(crate) fn value(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns a query parameter as a number, or 0 if it is missing or invalid.
    pub(crate) fn number(&self, name: &str) -> u64 {
        self.value(name).parse().unwrap_or(0)
    }
}
