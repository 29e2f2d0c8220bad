//! Scripts of streamed responses.

use serde::{Deserialize, Serialize};

use crate::Step;

/// The number of backend servers of the service.
pub(crate) const SERVERS: usize = 4;
/// Patterns and faults begin before this time, in milliseconds after the start of the case.
const SCRIPT_MS: u64 = 10_000;

/// An action against four backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum StreamAction {
    /// A caller requests a streamed response.
    Call {
        /// The number of tokens of the response.
        tokens: u32,
        /// How long the caller waits for the response, in milliseconds.
        deadline_ms: u64,
    },
    /// A server is killed and replaced.
    Kill {
        /// The server.
        server: usize,
        /// How long it is down, in milliseconds.
        ms: u64,
    },
    /// Frames of a server are lost, including end frames.
    DropFrames {
        /// The server.
        server: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// Frames of a server arrive twice.
    RepeatFrames {
        /// The server.
        server: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// Frames of a server are delayed and overtake each other.
    DelayFrames {
        /// The server.
        server: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
        /// The maximum delay, in milliseconds.
        by_ms: u64,
    },
    /// Frames of a server also reach another call.
    MisdeliverFrames {
        /// The server.
        server: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// A server continues attempts that were cancelled.
    IgnoreCancels {
        /// The server.
        server: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The connections to a server are lost, but it continues to stream.
    LoseConnections {
        /// The server.
        server: usize,
    },
    /// A server is frozen. Its frames arrive when it resumes.
    Freeze {
        /// The server.
        server: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// A server that resumes a response repeats a part of it.
    RepeatOnResume {
        /// The server.
        server: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
        /// The first repeated token. A response that resumes before it repeats nothing.
        from: u32,
    },
    /// A server ends its responses early but states the true total number of tokens.
    EndEarly {
        /// The server.
        server: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
}

impl StreamAction {
    /// Returns whether the action is a fault.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(self, Self::Call { .. })
    }

    /// Generates a random script. One in ten has no fault.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let faults = if rng.u8(0..10) == 0 { 0 } else { rng.usize(1..10) };
        let mut steps = Vec::new();
        for _ in 0..rng.usize(2..8) {
            let tokens = rng.u32(0..200);
            let deadline_ms = if rng.u8(0..5) == 0 { rng.u64(100..3_000) } else { 60_000 };
            let action = Self::Call { tokens, deadline_ms };
            steps.push(Step { at_ms: rng.u64(0..SCRIPT_MS), action });
        }
        for _ in 0..faults {
            let at_ms = rng.u64(0..SCRIPT_MS);
            steps.push(Step { at_ms, action: Self::fault(rng) });
        }
        if faults > 0 && rng.u8(0..5) == 0 {
            Self::misdelivered_responses(rng, &mut steps);
        }
        if faults > 0 && rng.u8(0..5) == 0 {
            Self::repeated_tokens(rng, &mut steps);
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }

    /// Responses that begin at the same time also reach each other's callers.
    fn misdelivered_responses(rng: &mut fastrand::Rng, steps: &mut Vec<Step<Self>>) {
        let at_ms = rng.u64(0..SCRIPT_MS);
        for server in 0..SERVERS {
            steps.push(Step { at_ms, action: Self::MisdeliverFrames { server, ms: 1_000 } });
        }
        for _ in 0..4 {
            let action = Self::Call { tokens: rng.u32(1..50), deadline_ms: 60_000 };
            steps.push(Step { at_ms, action });
        }
    }

    /// Responses move to other servers, which repeat tokens that the callers have already received.
    fn repeated_tokens(rng: &mut fastrand::Rng, steps: &mut Vec<Step<Self>>) {
        let at_ms = rng.u64(0..SCRIPT_MS);
        for server in 0..SERVERS {
            steps.push(Step { at_ms, action: Self::RepeatOnResume { server, ms: 8_000, from: 0 } });
            let lost_at = at_ms + rng.u64(50..3_000);
            steps.push(Step { at_ms: lost_at, action: Self::LoseConnections { server } });
        }
        for _ in 0..4 {
            let action = Self::Call { tokens: rng.u32(20..300), deadline_ms: 60_000 };
            steps.push(Step { at_ms: at_ms + rng.u64(0..500), action });
        }
    }

    fn fault(rng: &mut fastrand::Rng) -> Self {
        let server = rng.usize(0..SERVERS);
        let ms = rng.u64(20..3_000);
        match rng.u8(0..10) {
            0 => Self::Kill { server, ms },
            1 => Self::DropFrames { server, ms: ms / 4 },
            2 => Self::RepeatFrames { server, ms },
            3 => Self::DelayFrames { server, ms, by_ms: rng.u64(10..1_500) },
            4 => Self::MisdeliverFrames { server, ms },
            5 => Self::IgnoreCancels { server, ms },
            6 => Self::LoseConnections { server },
            7 => Self::Freeze { server, ms: ms * 2 },
            8 => Self::RepeatOnResume { server, ms, from: rng.u32(0..3) * 20 },
            _ => Self::EndEarly { server, ms },
        }
    }
}
