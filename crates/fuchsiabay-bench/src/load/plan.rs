//! The requests of a run, which are generated before it starts.

use fastrand::Rng;

use super::LoadSettings;

/// The kind of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat completion.
    Chat {
        /// Whether the completion is streamed.
        stream: bool,
        /// The length of the completion.
        max_tokens: u32,
    },
    /// An idempotent call, without an idempotency key.
    LookUp,
    /// A call with an idempotency key, which must run at most once.
    Keyed {
        /// The random part of the idempotency key.
        random: u128,
        /// When the key is issued, in milliseconds after the start of the run. Duplicates share it.
        issued_ms: u64,
    },
}

/// One request of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// When the request is sent, in microseconds after the start of the run.
    pub at_us: u64,
    /// Identifies the content of the request, which determines the expected response. Duplicates share it.
    pub content_id: u64,
    /// The index of the entry instance that receives the request.
    pub entry: usize,
    /// The index of the workspace that the request belongs to.
    pub workspace: usize,
    /// The kind of the request.
    pub kind: RequestKind,
}

/// The requests of a run in the order in which they are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The requests.
    pub requests: Vec<PlannedRequest>,
}

impl Plan {
    /// Generates the requests of a run. Arrivals are a Poisson process, so that bursts occur as they do in practice.
    pub fn new(settings: &LoadSettings) -> Self {
        let mut rng = Rng::with_seed(settings.seed);
        let mut requests = Vec::new();
        let mut at_us = 0;
        for content_id in 0.. {
            let gap_s = -(1.0 - rng.f64()).ln() / settings.rate;
            at_us += (gap_s * 1e6) as u64;
            if at_us >= settings.duration_ms * 1000 {
                break;
            }
            let request = PlannedRequest {
                at_us,
                content_id: settings.seed << 32 | content_id,
                entry: rng.usize(..settings.target.entry_count()),
                workspace: rng.usize(..settings.workspaces.len()),
                kind: random_kind(settings, at_us, &mut rng),
            };
            if matches!(request.kind, RequestKind::Keyed { .. })
                && is_chosen(settings.duplicate_percent, &mut rng)
            {
                requests.push(duplicate(settings, &request, &mut rng));
            }
            requests.push(request);
        }
        requests.sort_by_key(|request| request.at_us);
        Self { requests }
    }
}

fn random_kind(settings: &LoadSettings, at_us: u64, rng: &mut Rng) -> RequestKind {
    let random_percent = rng.u32(..100);
    if random_percent < settings.look_up_percent {
        return RequestKind::LookUp;
    }
    if random_percent < settings.look_up_percent + settings.keyed_percent {
        return RequestKind::Keyed { random: rng.u128(..), issued_ms: at_us / 1000 };
    }
    let stream = is_chosen(settings.stream_percent, rng);
    let long = is_chosen(settings.long_percent, rng);
    RequestKind::Chat { stream, max_tokens: if long { settings.long_tokens } else { settings.short_tokens } }
}

/// Returns a duplicate of `request` that is sent later, through another entry instance if there is one.
fn duplicate(settings: &LoadSettings, request: &PlannedRequest, rng: &mut Rng) -> PlannedRequest {
    let other_entries = settings.target.entry_count().saturating_sub(1);
    let entry_offset = if other_entries == 0 { 0 } else { 1 + rng.usize(..other_entries) };
    PlannedRequest {
        at_us: request.at_us + rng.u64(..=settings.max_duplicate_delay_ms * 1000),
        entry: (request.entry + entry_offset) % settings.target.entry_count(),
        ..request.clone()
    }
}

/// Returns true with a probability of `percent` %.
fn is_chosen(percent: u32, rng: &mut Rng) -> bool {
    rng.u32(..100) < percent
}
