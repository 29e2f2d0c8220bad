//! HTTP calls to the platform's services, each with a deadline.

use std::io::ErrorKind;

use fuchsiabay_base::Timestamp;
use futures_lite::future;
use trillium_client::{Client, Conn, Error, KnownHeaderName, Status};
use trillium_smol::ClientConfig;

use crate::{monotonic_now, sleep_until};

/// The largest response that is read. A page of the log is at most the records asked for; a larger response is
/// not worth the memory of a small instance.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Requests up to this size are sent in one go instead of asking the service for permission first, which costs a
/// round trip.
const MAX_ONE_SHOT_BYTES: usize = 64 << 20;

/// Why an exchange gave no usable response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub(crate) enum ExchangeError {
    /// The request never reached the service.
    #[error("{0}")]
    NotSent(String),
    /// The service refused the request.
    #[error("refused with status {0}: {1}")]
    Refused(u16, String),
    /// The request may have reached the service.
    #[error("{0}")]
    Unknown(String),
}

/// A whole response.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: Status,
    pub(crate) body: String,
    /// The version of the resource, if the service states one.
    pub(crate) etag: Option<String>,
}

impl Response {
    /// Returns the body of a successful response.
    pub(crate) fn success(self) -> Result<String, ExchangeError> {
        let Self { status, body, .. } = self;
        if status.is_success() {
            return Ok(body);
        }
        // A server error may be reported after the effect, so only a client error proves that there was none.
        if status.is_client_error() && status != Status::RequestTimeout {
            return Err(ExchangeError::Refused(status as u16, excerpt(&body)));
        }
        Err(ExchangeError::Unknown(format!("failed with status {}: {}", status as u16, excerpt(&body))))
    }
}

/// A service of the platform.
#[derive(Clone, Debug)]
pub(crate) struct PlatformHttp {
    client: Client,
    base: String,
}

impl PlatformHttp {
    /// Prepares calls to the service at `base`.
    pub(crate) fn new(base: &str) -> Self {
        let mut client = Client::new(ClientConfig::new().with_nodelay(true));
        client.set_max_buffered_request_body(MAX_ONE_SHOT_BYTES);
        Self { client, base: base.trim_end_matches('/').to_owned() }
    }

    /// Reads `path`.
    pub(crate) async fn get(&self, path: &str, deadline: Timestamp) -> Result<String, ExchangeError> {
        self.fetch(path, deadline).await?.success()
    }

    /// Reads `path` whatever the status of the response.
    pub(crate) async fn fetch(&self, path: &str, deadline: Timestamp) -> Result<Response, ExchangeError> {
        let conn = self.client.get(format!("{}{path}", self.base));
        exchange(conn, deadline).await
    }

    /// Reads `path` unless it still has the version `etag`.
    pub(crate) async fn fetch_if_changed(
        &self,
        path: &str,
        etag: Option<&str>,
        deadline: Timestamp,
    ) -> Result<Response, ExchangeError> {
        let mut conn = self.client.get(format!("{}{path}", self.base));
        if let Some(etag) = etag {
            conn = conn.with_request_header(KnownHeaderName::IfNoneMatch, etag.to_owned());
        }
        exchange(conn, deadline).await
    }

    /// Sends the JSON text `body` to `path`.
    pub(crate) async fn post(
        &self,
        path: &str,
        body: String,
        deadline: Timestamp,
    ) -> Result<String, ExchangeError> {
        let conn = self
            .client
            .post(format!("{}{path}", self.base))
            .with_request_header(KnownHeaderName::ContentType, "application/json")
            .with_body(body);
        exchange(conn, deadline).await?.success()
    }
}

/// Sends the request and reads the whole response, giving up at `deadline`.
async fn exchange(conn: Conn, deadline: Timestamp) -> Result<Response, ExchangeError> {
    if monotonic_now() >= deadline {
        return Err(ExchangeError::NotSent("the deadline had passed before the request was sent".into()));
    }
    let timed_out = async {
        sleep_until(deadline).await;
        Err(ExchangeError::Unknown("no response before the deadline".into()))
    };
    future::or(send(conn), timed_out).await
}

async fn send(mut conn: Conn) -> Result<Response, ExchangeError> {
    (&mut conn).await.map_err(classify)?;
    let Some(status) = conn.status() else {
        return Err(ExchangeError::Unknown("a response without a status".into()));
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

/// A refused connection and an unusable address prove that no byte of the request was written. Every other
/// error may have come after the write.
fn classify(error: Error) -> ExchangeError {
    match &error {
        Error::Io(io) if io.kind() == ErrorKind::ConnectionRefused => {
            ExchangeError::NotSent("the connection was refused".into())
        }
        Error::UnexpectedUriFormat => ExchangeError::NotSent("the address is not a valid URL".into()),
        _ => ExchangeError::Unknown(error.to_string()),
    }
}

/// The first line of a response, short enough for a log line.
fn excerpt(body: &str) -> String {
    const MAX_CHARS: usize = 200;
    body.lines().next().unwrap_or_default().chars().take(MAX_CHARS).collect()
}
