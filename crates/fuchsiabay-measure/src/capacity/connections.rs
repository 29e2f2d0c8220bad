//! Memory of connections and processor time of calls, over loopback.

use std::sync::Arc;

use fuchsiabay_base::Generation;
use fuchsiabay_runtime::{Identity, Peer, PeerListener, PeerService, monotonic_now, spawn};
use fuchsiabay_wire::{LoadReport, Role, SharedKey};
use jsonrpsee::{Methods, RpcModule};

use super::{Slope, measure};

/// Calls on each connection.
const CALLS: usize = 100;

struct LoadOnly;

impl PeerService for LoadOnly {
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

/// Returns the slope of connections with both ends in this process and 100 calls on each.
pub(crate) fn slope() -> Slope {
    let name = "both ends of a peer connection with 100 load calls";
    measure(name, [100, 200, 400], |count| smol::block_on(connect(count)))
}

async fn connect(count: u64) -> Vec<Peer> {
    let key = SharedKey::new("key of the measurement");
    let any = "127.0.0.1:0".parse().expect("an address");
    let listener = PeerListener::bind(any).await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    spawn(listener.serve(identity(Role::Agent), key.clone(), Arc::new(LoadOnly))).detach();
    let own = identity(Role::Entry);
    let mut peers = Vec::new();
    for _ in 0..count {
        let deadline = monotonic_now().plus_millis(10_000);
        let peer = Peer::connect(addr, &own, &key, Arc::new(LoadOnly), deadline).await.expect("a connection");
        for _ in 0..CALLS {
            let deadline = monotonic_now().plus_millis(10_000);
            let _: LoadReport = peer.call("load", &(), deadline).await.expect("a reply");
        }
        peers.push(peer);
    }
    peers
}
