//! The memory of peer connections and the processor time of calls over loopback.

use std::sync::Arc;

use fuchsiabay_base::Generation;
use fuchsiabay_runtime::{Identity, Peer, PeerListener, PeerService, monotonic_now, spawn};
use fuchsiabay_wire::{LoadReport, Role, SharedKey};
use jsonrpsee::{Methods, RpcModule};

use super::{Slope, measure};

/// The number of calls on each connection.
const CALLS_PER_CONNECTION: usize = 100;

/// A peer service whose only method is `load`.
struct LoadService;

impl PeerService for LoadService {
    fn methods(self: &Arc<Self>, _peer: &Peer) -> Methods {
        let mut module = RpcModule::new(());
        let registered = module
            .register_method("load", |_, _, _| jsonrpsee::ResponsePayload::success(LoadReport::default()))
            .is_ok();
        debug_assert!(registered, "the module has no other method");
        module.into()
    }
}

fn identity(role: Role) -> Identity {
    Identity { role, instance: "measure".into(), generation: Generation(1), zone: "zone-a".into() }
}

/// Measures connections with both ends in this process and 100 calls on each.
pub(crate) fn slope() -> Slope {
    let name = "both ends of a peer connection with 100 load calls";
    measure(name, [100, 200, 400], |count| smol::block_on(connect(count)))
}

/// Opens `count` connections and makes the calls on each.
async fn connect(count: u64) -> Vec<Peer> {
    let key = SharedKey::new("key of the measurement");
    let listen_addr = "127.0.0.1:0".parse().expect("a literal address parses");
    let listener = PeerListener::bind(listen_addr).await.expect("loopback has a free port");
    let addr = listener.local_addr().expect("a bound listener has an address");
    spawn(listener.serve(identity(Role::Agent), key.clone(), Arc::new(LoadService))).detach();
    let own = identity(Role::Entry);
    let mut peers = Vec::new();
    for _ in 0..count {
        let deadline = monotonic_now().plus_millis(10_000);
        let peer = Peer::connect(addr, &own, &key, Arc::new(LoadService), deadline)
            .await
            .expect("the listener accepts connections");
        for _ in 0..CALLS_PER_CONNECTION {
            let deadline = monotonic_now().plus_millis(10_000);
            let _: LoadReport =
                peer.call("load", &(), deadline).await.expect("the listener replies to calls");
        }
        peers.push(peer);
    }
    peers
}
