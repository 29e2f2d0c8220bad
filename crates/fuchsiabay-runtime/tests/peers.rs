//! Calls and token streams over real sockets: authentication, closed connections and late frames.

use std::{net::SocketAddr, sync::Arc};

use fuchsiabay_base::{AttemptId, Generation, Verdict};
use fuchsiabay_runtime::{
    AttemptEvent, CallError, ConnectError, Identity, Peer, PeerListener, PeerService, monotonic_now, spawn,
};
use fuchsiabay_wire::{End, Role, SharedKey, Tokens};
use jsonrpsee::{Methods, RpcModule};
use smol::io::{AsyncReadExt, AsyncWriteExt};

struct EchoService;

impl PeerService for EchoService {
    fn methods(self: &Arc<Self>, peer: &Peer) -> Methods {
        let mut module = RpcModule::new(peer.clone());
        module.register_method("echo", |params, _, _| params.one::<String>()).unwrap();
        module.register_method("close", |_, peer, _| peer.close()).unwrap();
        module
            .register_async_method("stream", |params, peer, _| async move {
                let attempt: AttemptId = params.one().unwrap();
                peer.send_tokens(Tokens { attempt, first: 0, count: 2, text: b"ab".to_vec() }).await.unwrap();
                let end =
                    End { attempt, verdict: Verdict::Ran, total_tokens: 2, error: None, response: None };
                peer.send_end(end).await.unwrap();
            })
            .unwrap();
        module.into()
    }
}

fn identity(name: &str) -> Identity {
    Identity { role: Role::Entry, instance: name.into(), generation: Generation(1), zone: "a".into() }
}

async fn listen() -> SocketAddr {
    let listener = PeerListener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn(listener.serve(identity("server"), SharedKey::new("key"), Arc::new(EchoService))).detach();
    addr
}

async fn connect(addr: SocketAddr, key: &str) -> Result<Peer, ConnectError> {
    let deadline = monotonic_now().plus_millis(10_000);
    Peer::connect(addr, &identity("client"), &SharedKey::new(key), Arc::new(EchoService), deadline).await
}

async fn echo(peer: &Peer, text: &str) -> Result<String, CallError> {
    peer.call("echo", &text, monotonic_now().plus_millis(10_000)).await
}

/// Guards against replies that reach the wrong caller because they are matched by order instead of by ID.
#[test]
fn concurrent_replies_reach_their_callers() {
    smol::block_on(async {
        let peer = connect(listen().await, "key").await.unwrap();
        let calls: Vec<_> = (0..100)
            .map(|i| {
                let peer = peer.clone();
                spawn(async move { (i, echo(&peer, &i.to_string()).await.unwrap()) })
            })
            .collect();
        for call in calls {
            let (i, reply) = call.await;
            assert_eq!(reply, i.to_string());
        }
    });
}

/// Guards against calls from a peer that does not have the shared key.
#[test]
fn peer_with_a_wrong_key_is_rejected() {
    smol::block_on(async {
        let addr = listen().await;
        let result = connect(addr, "wrong").await;
        assert!(matches!(result, Err(ConnectError::Unauthenticated | ConnectError::Io(_))), "{result:?}");
    });
}

/// Guards against a listener that stops when it receives bytes of another protocol. Only that connection is closed.
#[test]
fn malformed_handshake_closes_only_its_connection() {
    smol::block_on(async {
        let addr = listen().await;
        let mut socket = smol::net::TcpStream::connect(addr).await.unwrap();
        socket.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
        let mut received = Vec::new();
        let _ = socket.read_to_end(&mut received).await;
        let peer = connect(addr, "key").await.unwrap();
        assert_eq!(echo(&peer, "alive").await.unwrap(), "alive");
    });
}

/// Guards against frames of an attempt that was dropped showing up in another attempt's stream.
#[test]
fn frames_reach_their_attempt_and_late_frames_are_discarded() {
    smol::block_on(async {
        let peer = connect(listen().await, "key").await.unwrap();
        drop(peer.open_attempt(AttemptId(1)));
        let stream = peer.open_attempt(AttemptId(2));
        for attempt in [AttemptId(1), AttemptId(2)] {
            let () = peer.call("stream", &attempt, monotonic_now().plus_millis(10_000)).await.unwrap();
        }
        let Some(AttemptEvent::Tokens(tokens)) = stream.next().await else { panic!("expected tokens") };
        assert_eq!((tokens.attempt, tokens.text), (AttemptId(2), b"ab".to_vec()));
        let Some(AttemptEvent::End(end)) = stream.next().await else { panic!("expected the end") };
        assert_eq!((end.attempt, end.total_tokens), (AttemptId(2), 2));
    });
}

/// Guards against wrong verdicts. A call after the close is never sent; a call during which the connection closes may
/// have run.
#[test]
fn closed_connection_gives_the_right_verdicts() {
    smol::block_on(async {
        let peer = connect(listen().await, "key").await.unwrap();
        let stream = peer.open_attempt(AttemptId(1));
        let interrupted: Result<(), CallError> =
            peer.call("close", &0, monotonic_now().plus_millis(10_000)).await;
        if let Err(error) = interrupted {
            assert_eq!(error.verdict(), Verdict::MayHaveRun);
        }
        peer.closed().await;
        assert!(stream.next().await.is_none());
        assert_eq!(echo(&peer, "late").await.unwrap_err().verdict(), Verdict::NotRun);
    });
}

/// Guards against a caller that is told that its request may have run, although it was never sent.
#[test]
fn unserializable_request_has_not_run() {
    smol::block_on(async {
        let peer = connect(listen().await, "key").await.unwrap();
        // JSON has no keys that are not strings.
        let params = std::collections::HashMap::from([((1, 2), 3)]);
        let result: Result<(), CallError> =
            peer.call("echo", &params, monotonic_now().plus_millis(10_000)).await;
        assert_eq!(result.unwrap_err().verdict(), Verdict::NotRun);
    });
}
