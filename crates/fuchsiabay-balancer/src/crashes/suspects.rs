//! The suspects of one crash.

use std::collections::{BTreeMap, btree_map::Entry};

use fuchsiabay_base::Fingerprint;

use super::suspect::WHOLE_REQUEST_DEPTH;

/// The maximum number of whole requests among the suspects of one crash. A server runs and queues some dozen requests at a
/// time, and callers may give up as many again.
const MAX_REQUESTS: usize = 1_024;

/// The maximum number of parts of prompts among the suspects of one crash.
const MAX_PARTS: usize = 512;

/// Why something is suspect.
#[derive(Clone, Copy, Debug)]
pub(super) struct Suspicion {
    /// See [`Suspect::depth`](super::Suspect::depth).
    pub(super) depth: u8,
    /// Whether servers survived it. Only parts of prompts are cleared.
    pub(super) is_cleared: bool,
    /// How often servers survived it at the instance that has seen that most often.
    pub(super) survivals: u32,
}

impl Suspicion {
    pub(super) const fn is_request(&self) -> bool {
        self.depth == WHOLE_REQUEST_DEPTH
    }

    /// Returns whether it was not cleared before.
    pub(super) fn clear(&mut self) -> bool {
        !std::mem::replace(&mut self.is_cleared, true)
    }
}

/// What adding a suspect has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Added {
    /// Nothing was learned.
    Known,
    /// The suspect is new, or was cleared.
    Changed,
    /// There is no room for the suspect.
    Dropped,
}

/// Whole requests and parts of prompts, each with a limit of their own: many parts must not displace the request that
/// crashes servers.
#[derive(Clone, Debug, Default)]
pub(super) struct Suspects {
    requests: BTreeMap<Fingerprint, Suspicion>,
    parts: BTreeMap<Fingerprint, Suspicion>,
}

impl Suspects {
    /// Adds a suspect, or what another instance knows of it.
    pub(super) fn add(&mut self, fingerprint: Fingerprint, told: Suspicion) -> Added {
        let (suspects, limit) = match told.is_request() {
            true => (&mut self.requests, MAX_REQUESTS),
            false => (&mut self.parts, MAX_PARTS),
        };
        let is_full = suspects.len() >= limit;
        match suspects.entry(fingerprint) {
            Entry::Occupied(mut entry) => {
                let known = entry.get_mut();
                known.survivals = known.survivals.max(told.survivals);
                if told.is_cleared && known.clear() { Added::Changed } else { Added::Known }
            }
            Entry::Vacant(_) if is_full => Added::Dropped,
            Entry::Vacant(entry) => {
                entry.insert(told);
                Added::Changed
            }
        }
    }

    pub(super) fn get(&self, fingerprint: &Fingerprint) -> Option<&Suspicion> {
        self.requests.get(fingerprint).or_else(|| self.parts.get(fingerprint))
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&Fingerprint, &Suspicion)> {
        self.requests.iter().chain(&self.parts)
    }

    pub(super) fn parts_mut(&mut self) -> impl Iterator<Item = (&Fingerprint, &mut Suspicion)> {
        self.parts.iter_mut()
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len() + self.parts.len()
    }
}
