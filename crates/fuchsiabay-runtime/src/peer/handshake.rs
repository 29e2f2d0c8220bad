//! The handshake: exchange of hello messages and mutual authentication.

use std::io;

use fuchsiabay_base::{Generation, InstanceId, ZoneName};
use fuchsiabay_wire::{Frame, FrameDecoder, FrameError, Hello, PROTOCOL_VERSION, Role, SharedKey};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The identity that this process presents to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The role of the instance.
    pub role: Role,
    /// The id of the instance.
    pub instance: InstanceId,
    /// The generation of the instance's current incarnation.
    pub generation: Generation,
    /// The availability zone.
    pub zone: ZoneName,
}

/// The reason why a connection could not be established. No call was sent.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ConnectError {
    /// The socket failed.
    #[error("socket error: {0}")]
    Io(#[from] io::Error),
    /// The peer sent bytes that are not a valid frame.
    #[error("protocol error: {0}")]
    Decode(#[from] FrameError),
    /// The peer uses another version of the protocol.
    #[error("the peer uses protocol version {0}, this process uses version {PROTOCOL_VERSION}")]
    Version(u16),
    /// The peer sent an unexpected or malformed handshake message.
    #[error("the peer violated the handshake protocol")]
    Handshake,
    /// The peer does not have the shared key.
    #[error("the peer did not prove possession of the shared key")]
    Unauthenticated,
    /// The deadline passed.
    #[error("the deadline passed")]
    DeadlinePassed,
}

/// Authenticates both sides. Returns the peer's hello and the decoder, which holds any bytes after the handshake.
pub(crate) async fn run(
    socket: &mut TcpStream,
    own: &Identity,
    key: &SharedKey,
) -> Result<(Hello, FrameDecoder), ConnectError> {
    let own_hello = Hello {
        protocol: PROTOCOL_VERSION,
        role: own.role,
        instance: own.instance.clone(),
        generation: own.generation,
        zone: own.zone.clone(),
        nonce: fastrand::u128(..),
    };
    let hello_frame = Frame::hello(&own_hello);
    send(socket, &hello_frame).await?;
    let Frame::Hello(own_payload) = hello_frame else {
        return Err(ConnectError::Handshake);
    };

    let mut decoder = FrameDecoder::default();
    let Frame::Hello(peer_payload) = receive(socket, &mut decoder).await? else {
        return Err(ConnectError::Handshake);
    };
    let peer_hello: Hello = serde_json::from_slice(&peer_payload).map_err(|_| ConnectError::Handshake)?;
    if peer_hello.protocol != PROTOCOL_VERSION {
        return Err(ConnectError::Version(peer_hello.protocol));
    }

    send(socket, &Frame::Auth(key.tag(&own_payload, &peer_payload))).await?;
    let Frame::Auth(tag) = receive(socket, &mut decoder).await? else {
        return Err(ConnectError::Handshake);
    };
    // A reflected hello contains this side's own nonce, and the tag over both payloads would verify, so it is rejected.
    if peer_payload == own_payload || !key.verify(&peer_payload, &own_payload, &tag) {
        return Err(ConnectError::Unauthenticated);
    }
    Ok((peer_hello, decoder))
}

async fn send(socket: &mut TcpStream, frame: &Frame) -> Result<(), ConnectError> {
    let mut buf = Vec::new();
    frame.encode(&mut buf)?;
    socket.write_all(&buf).await?;
    Ok(())
}

async fn receive(socket: &mut TcpStream, decoder: &mut FrameDecoder) -> Result<Frame, ConnectError> {
    let mut buf = [0; 1024];
    loop {
        if let Some(frame) = decoder.next_frame()? {
            return Ok(frame);
        }
        let n = socket.read(&mut buf).await?;
        if n == 0 {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        decoder.extend(&buf[..n]);
    }
}
