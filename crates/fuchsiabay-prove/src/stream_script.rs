//! Scripts of streamed answers.

use serde::{Deserialize, Serialize};

use crate::Step;

/// Backend servers of the service.
pub(crate) const SERVERS: usize = 4;
/// When the last action of a script may begin, in milliseconds.
const SCRIPT_MS: u64 = 10_000;

/// An action against four backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum StreamAction {
    /// A caller asks for an answer.
    Call {
        /// Tokens of the answer.
        tokens: u32,
        /// How long the caller waits.
        deadline_ms: u64,
    },
    /// A server dies and is replaced.
    Kill {
        /// The server.
        server: usize,
        /// How long it is gone.
        ms: u64,
    },
    /// Frames of a server are lost, ends included.
    DropFrames {
        /// The server.
        server: usize,
        /// How long.
        ms: u64,
    },
    /// Frames of a server arrive twice.
    RepeatFrames {
        /// The server.
        server: usize,
        /// How long.
        ms: u64,
    },
    /// Frames of a server are late and overtake each other.
    DelayFrames {
        /// The server.
        server: usize,
        /// How long.
        ms: u64,
        /// By how much at most.
        by_ms: u64,
    },
    /// Frames of a server reach the wrong call, too.
    MisdeliverFrames {
        /// The server.
        server: usize,
        /// How long.
        ms: u64,
    },
    /// A server goes on with attempts that were given up.
    IgnoreCancels {
        /// The server.
        server: usize,
        /// How long.
        ms: u64,
    },
    /// The connections to a server are lost, and it streams on.
    LoseConnections {
        /// The server.
        server: usize,
    },
    /// A server is paused. Its frames arrive when it goes on.
    Freeze {
        /// The server.
        server: usize,
        /// How long.
        ms: u64,
    },
    /// A server repeats a part of the answer when it resumes one.
    RepeatOnResume {
        /// The server.
        server: usize,
        /// How long.
        ms: u64,
        /// From which token on; the first one if the answer resumes before it.
        from: u32,
    },
    /// A server ends its answers early and states the true total.
    EndEarly {
        /// The server.
        server: usize,
        /// How long.
        ms: u64,
    },
}

impl StreamAction {
    /// Returns whether the action is a fault.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(self, Self::Call { .. })
    }

    /// Draws a script. One in ten has no fault.
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
            Self::mixed_answers(rng, &mut steps);
        }
        if faults > 0 && rng.u8(0..5) == 0 {
            Self::repeated_parts(rng, &mut steps);
        }
        steps.sort_by_key(|step| step.at_ms);
        steps
    }

    /// Answers that begin at the same moment reach each other's callers, too.
    fn mixed_answers(rng: &mut fastrand::Rng, steps: &mut Vec<Step<Self>>) {
        let at_ms = rng.u64(0..SCRIPT_MS);
        for server in 0..SERVERS {
            steps.push(Step { at_ms, action: Self::MisdeliverFrames { server, ms: 1_000 } });
        }
        for _ in 0..4 {
            let action = Self::Call { tokens: rng.u32(1..50), deadline_ms: 60_000 };
            steps.push(Step { at_ms, action });
        }
    }

    /// Answers move to other servers, which repeat what the callers already have.
    fn repeated_parts(rng: &mut fastrand::Rng, steps: &mut Vec<Step<Self>>) {
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
