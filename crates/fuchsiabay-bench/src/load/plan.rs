//! The requests of a run, fixed before it starts.

use fastrand::Rng;

use super::LoadSettings;

/// What a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A chat completion.
    Chat {
        /// Whether the answer streams.
        stream: bool,
        /// The length of the answer.
        max_tokens: u32,
    },
    /// A call that may be repeated.
    LookUp,
    /// A call that must run at most once.
    Keyed {
        /// The random part of the idempotency key.
        random: u128,
        /// When the key is issued, in milliseconds after the start of the run. Calls sent twice share it.
        issued_ms: u64,
    },
}

/// One request of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// When it is sent, in microseconds after the start of the run.
    pub at_us: u64,
    /// The number that makes its answer its own. Calls sent twice share it.
    pub content_id: u64,
    /// The entry instance that it goes to.
    pub entry: usize,
    /// The workspace that it belongs to.
    pub workspace: usize,
    /// What it asks for.
    pub kind: RequestKind,
}

/// The requests of a run in the order in which they are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The requests.
    pub requests: Vec<PlannedRequest>,
}

impl Plan {
    /// Draws the requests of a run. Arrivals are a Poisson process, so that bursts occur as they do in practice.
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
                entry: rng.usize(..settings.target.len()),
                workspace: rng.usize(..settings.workspaces.len()),
                kind: draw_kind(settings, at_us, &mut rng),
            };
            if matches!(request.kind, RequestKind::Keyed { .. })
                && percent(settings.duplicate_percent, &mut rng)
            {
                requests.push(duplicate(settings, &request, &mut rng));
            }
            requests.push(request);
        }
        requests.sort_by_key(|request| request.at_us);
        Self { requests }
    }
}

fn draw_kind(settings: &LoadSettings, at_us: u64, rng: &mut Rng) -> RequestKind {
    let draw = rng.u32(..100);
    if draw < settings.look_up_percent {
        return RequestKind::LookUp;
    }
    if draw < settings.look_up_percent + settings.keyed_percent {
        return RequestKind::Keyed { random: rng.u128(..), issued_ms: at_us / 1000 };
    }
    let stream = percent(settings.stream_percent, rng);
    let long = percent(settings.long_percent, rng);
    RequestKind::Chat { stream, max_tokens: if long { settings.long_tokens } else { settings.short_tokens } }
}

/// Returns the same call sent again, through another entry instance where there is one.
fn duplicate(settings: &LoadSettings, request: &PlannedRequest, rng: &mut Rng) -> PlannedRequest {
    let others = settings.target.len().saturating_sub(1);
    let step = if others == 0 { 0 } else { 1 + rng.usize(..others) };
    PlannedRequest {
        at_us: request.at_us + rng.u64(..=settings.max_duplicate_delay_ms * 1000),
        entry: (request.entry + step) % settings.target.len(),
        ..request.clone()
    }
}

fn percent(percent: u32, rng: &mut Rng) -> bool {
    rng.u32(..100) < percent
}
