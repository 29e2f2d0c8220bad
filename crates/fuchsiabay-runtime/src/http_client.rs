//! An HTTP client for the platform's services and the ops servers. Each request has a deadline.

use std::io::ErrorKind;

use fuchsiabay_base::Timestamp;
use futures_lite::future;
use trillium_client::{Client, Conn, Error, KnownHeaderName, Status};
use trillium_smol::ClientConfig;

use crate::{monotonic_now, sleep_until};

/// The maximum size of a response body. A page of the log holds at most the requested records; a larger response would
/// take too much memory on a small instance.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Request bodies up to this size are sent without `Expect: 100-continue`, which would cost a round trip.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 20;

/// The reason why an exchange gave no usable response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum ExchangeError {
    /// The request was never sent to the service.
    #[error("{0}")]
    NotSent(String),
    /// The service rejected the request with a client error.
    #[error("refused with status {0}: {1}")]
    Refused(u16, String),
    /// The request may have reached the service, so it may have taken effect.
    #[error("{0}")]
    Unknown(String),
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: Status,
    pub(crate) body: String,
    /// The entity tag of the resource, if the service sent one.
    pub(crate) etag: Option<String>,
}

impl Response {
    /// Returns the body of a successful response.
    pub(crate) fn success(self) -> Result<String, ExchangeError> {
        let Self { status, body, .. } = self;
        if status.is_success() {
            return Ok(body);
        }
        // A server error may be reported after the request took effect. Only a client error proves that it did not.
        if status.is_client_error() && status != Status::RequestTimeout {
            return Err(ExchangeError::Refused(status as u16, excerpt(&body)));
        }
        Err(ExchangeError::Unknown(format!("failed with status {}: {}", status as u16, excerpt(&body))))
    }
}

/// An HTTP client for one service.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    client: Client,
    base_url: String,
}

impl HttpClient {
    /// Creates a client of the service with the base URL `base_url`.
    pub(crate) fn new(base_url: &str) -> Self {
        let mut client = Client::new(ClientConfig::new().with_nodelay(true));
        client.set_max_buffered_request_body(MAX_BUFFERED_BODY_BYTES);
        Self { client, base_url: base_url.trim_end_matches('/').to_owned() }
    }

    /// Sends a GET request for `path` and returns the body of a successful response.
    pub(crate) async fn get(&self, path: &str, deadline: Timestamp) -> Result<String, ExchangeError> {
        self.fetch(path, deadline).await?.success()
    }

    /// Sends a GET request for `path` and returns the response whatever its status.
    pub(crate) async fn fetch(&self, path: &str, deadline: Timestamp) -> Result<Response, ExchangeError> {
        let conn = self.client.get(format!("{}{path}", self.base_url));
        exchange(conn, deadline).await
    }

    /// Sends a GET request for `path`, conditional on an entity tag other than `etag` if that is given.
    pub(crate) async fn fetch_if_changed(
        &self,
        path: &str,
        etag: Option<&str>,
        deadline: Timestamp,
    ) -> Result<Response, ExchangeError> {
        let mut conn = self.client.get(format!("{}{path}", self.base_url));
        if let Some(etag) = etag {
            conn = conn.with_request_header(KnownHeaderName::IfNoneMatch, etag.to_owned());
        }
        exchange(conn, deadline).await
    }

    /// Sends a POST request with the JSON text `body` to `path` and returns the body of a successful response.
    pub(crate) async fn post(
        &self,
        path: &str,
        body: String,
        deadline: Timestamp,
    ) -> Result<String, ExchangeError> {
        let conn = self
            .client
            .post(format!("{}{path}", self.base_url))
            .with_request_header(KnownHeaderName::ContentType, "application/json")
            .with_body(body);
        exchange(conn, deadline).await?.success()
    }
}

/// Sends the request and reads the complete response, unless `deadline` passes first.
async fn exchange(conn: Conn, deadline: Timestamp) -> Result<Response, ExchangeError> {
    if monotonic_now() >= deadline {
        return Err(ExchangeError::NotSent("the deadline had passed before the request was sent".into()));
    }
    let timeout = async {
        sleep_until(deadline).await;
        Err(ExchangeError::Unknown("no response before the deadline".into()))
    };
    future::or(send(conn), timeout).await
}

async fn send(mut conn: Conn) -> Result<Response, ExchangeError> {
    (&mut conn).await.map_err(classify)?;
    let Some(status) = conn.status() else {
        return Err(ExchangeError::Unknown("the response has no status".into()));
    };
    let etag = conn.response_headers().get_str(KnownHeaderName::Etag).map(str::to_owned);
    let body = conn
        .response_body()
        .with_max_len(MAX_RESPONSE_BYTES)
        .read_string()
        .await
        .map_err(|error| ExchangeError::Unknown(error.to_string()))?;
    conn.recycle().await;
    Ok(Response { status, body, etag })
}

/// Classifies an error by whether the request may have been sent.
///
/// A refused connection or an invalid address proves that no byte of the request was written. Any other error may have
/// occurred after the write.
fn classify(error: Error) -> ExchangeError {
    match &error {
        Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused => {
            ExchangeError::NotSent("the connection was refused".into())
        }
        Error::UnexpectedUriFormat => ExchangeError::NotSent("the address is not a valid URL".into()),
        _ => ExchangeError::Unknown(error.to_string()),
    }
}

/// Returns the first line of a response body, truncated to fit into a log line.
fn excerpt(body: &str) -> String {
    const MAX_CHARS: usize = 200;
    body.lines().next().unwrap_or_default().chars().take(MAX_CHARS).collect()
}
