//! What may have crashed a server.

use fuchsiabay_base::{Fingerprint, ServiceName};

/// The maximum number of parts of one prompt that are considered.
const MAX_PARTS: usize = 32;

/// The depth of a whole request, which is more specific than every part of its prompt.
pub(super) const WHOLE_REQUEST_DEPTH: u8 = u8::MAX;

/// Something that requests have in common and that may crash servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Suspect {
    /// Identifies it within all services.
    pub fingerprint: Fingerprint,
    /// How specific it is: the position among the parts of the prompt, from 1 on. Deeper parts are shared by fewer requests.
    pub depth: u8,
}

impl Suspect {
    /// Returns whether it is a whole request.
    pub const fn is_request(&self) -> bool {
        self.depth == WHOLE_REQUEST_DEPTH
    }

    /// Returns the suspects for a whole request, identified by `parts`: as such, because its route may divide it among several
    /// services, and as one to `service`, because the servers of another service may survive it.
    pub fn request(service: &ServiceName, parts: &[&[u8]]) -> [Self; 2] {
        let prefixes = [vec![b"request".as_slice()], vec![b"service-request", service.as_str().as_bytes()]];
        prefixes.map(|mut all| {
            all.extend_from_slice(parts);
            Self { fingerprint: Fingerprint::of(&all), depth: WHOLE_REQUEST_DEPTH }
        })
    }

    /// Returns the suspects for the shared parts of a prompt, which is stated as `ID:TOKENS` separated by commas. The last part
    /// belongs to the request or to its session, so it is left out.
    pub fn prompt_parts<'a>(service: &'a ServiceName, parts: &'a str) -> impl Iterator<Item = Self> + 'a {
        let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
        let ids = shared.split(',').map(|part| part.split(':').next().unwrap_or_default().trim());
        let ids = ids.filter(|id| !id.is_empty()).take(MAX_PARTS);
        ids.zip(1..).map(|(id, depth)| {
            let name = service.as_str().as_bytes();
            Self { fingerprint: Fingerprint::of(&[b"prompt-part", name, id.as_bytes()]), depth }
        })
    }
}
