//! Responses of servers that have not read the body of the request yet.

use std::time::Duration;

use rustix::net::sockopt;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The time within which the upload of a long body fills the buffers of the kernel, and within which a peer notices what was
/// sent.
const PAUSE: Duration = Duration::from_millis(60);

/// A pause that exceeds the time within which the kernel closes a connection to a peer that has lost power.
const LONG_PAUSE: Duration = Duration::from_millis(2_500);

/// How the server ends its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyEnd {
    /// Resets the connection right behind the response.
    Reset,
    /// Resets the connection some time after the response.
    LateReset,
    /// Reads the whole request, and then shuts down its write side.
    ShutDownAfterUpload,
    /// Shuts down its write side, and keeps the connection open for some time.
    ShutDown,
    /// Does the same, after a long pause before the last byte of the response.
    SlowShutDown,
    /// Shuts down its write side and closes the connection. The kernel then resets it, because parts of the request were not
    /// read.
    ShutDownAndClose,
}

/// A response that is sent once the head of the request was read and the upload of its body has stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlyResponse {
    /// The bytes, with `{id}` in place of the id of the request.
    pub bytes: &'static str,
    pub end: EarlyEnd,
}

impl EarlyResponse {
    /// Responds to a request of which `unread_bytes` were not read yet.
    pub(super) async fn send(&self, mut stream: TcpStream, id: &str, unread_bytes: usize) {
        Timer::after(PAUSE).await;
        let bytes = self.bytes.replace("{id}", id);
        let mut rest = bytes.as_bytes();
        if self.end == EarlyEnd::SlowShutDown {
            let (start, last_byte) = rest.split_at(rest.len() - 1);
            if stream.write_all(start).await.is_err() {
                return;
            }
            Timer::after(LONG_PAUSE).await;
            rest = last_byte;
        }
        // The response fits into the buffer of the kernel, so a reset that follows at once arrives together with it.
        if stream.write_all(rest).await.is_err() {
            return;
        }
        match self.end {
            EarlyEnd::Reset => reset(&stream),
            EarlyEnd::LateReset => {
                Timer::after(PAUSE).await;
                reset(&stream);
            }
            EarlyEnd::ShutDownAfterUpload => {
                if stream.read_exact(&mut vec![0; unread_bytes]).await.is_ok() {
                    let _ = stream.close().await;
                }
            }
            EarlyEnd::ShutDown | EarlyEnd::SlowShutDown => {
                let _ = stream.close().await;
                Timer::after(PAUSE).await;
            }
            EarlyEnd::ShutDownAndClose => {
                let _ = stream.close().await;
            }
        }
    }
}

/// Makes the connection end with a reset when the stream is dropped.
fn reset(stream: &TcpStream) {
    sockopt::set_socket_linger(stream, Some(Duration::ZERO)).expect("the socket is open");
}
