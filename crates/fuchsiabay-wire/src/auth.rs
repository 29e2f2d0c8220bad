//! Mutual authentication with a pre-shared key.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The pre-shared key of a deployment, from the settings.
#[derive(Clone)]
pub struct SharedKey(Vec<u8>);

/// An HMAC-SHA256 tag, which proves that its sender holds the shared key.
pub type AuthTag = [u8; 32];

impl SharedKey {
    /// Creates a key from its bytes.
    pub fn new(bytes: impl Into<Vec<u8>>) -> Self {
        Self(bytes.into())
    }

    /// Returns the sender's tag over the payloads of both hello frames, exactly as they were on the wire.
    ///
    /// The sender's own hello comes first, so that a tag that is reflected to its sender does not verify.
    pub fn tag(&self, own_hello: &[u8], peer_hello: &[u8]) -> AuthTag {
        self.mac(own_hello, peer_hello).finalize().into_bytes().into()
    }

    /// Returns whether `tag` is the valid tag of the peer. The comparison takes constant time.
    pub fn verify(&self, peer_hello: &[u8], own_hello: &[u8], tag: &[u8]) -> bool {
        self.mac(peer_hello, own_hello).verify_slice(tag).is_ok()
    }

    fn mac(&self, first: &[u8], second: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            <Hmac<Sha256> as Mac>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(&(first.len() as u64).to_be_bytes());
        mac.update(first);
        mac.update(second);
        mac
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The key must not appear in logs or dumps.
        f.write_str("SharedKey(..)")
    }
}
