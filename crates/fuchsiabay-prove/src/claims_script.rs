//! Scripts of calls with idempotency keys.

use serde::{Deserialize, Serialize};

use crate::Step;

/// The number of agents of the service.
pub(crate) const AGENTS: usize = 3;

/// Patterns and faults begin before this time, in milliseconds after the start of the case.
const SCRIPT_MS: u64 = 30_000;

/// An action against three agents and their log.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "kebab-case")]
pub enum ClaimAction {
    /// A caller sends a call with an idempotency key.
    Call {
        /// The number of the idempotency key.
        key: u32,
        /// When the key was issued, in milliseconds after the start of the case. It may be negative.
        issued_ms: i64,
        /// The body of the call: calls with different numbers have different bodies.
        body: u8,
        /// The agent that the entry instance tries first.
        agent: usize,
        /// How long the caller waits for the response, in milliseconds.
        deadline_ms: u64,
    },
    /// An agent is killed and replaced.
    Kill {
        /// The agent.
        agent: usize,
        /// How long it is down, in milliseconds.
        ms: u64,
    },
    /// An agent is frozen.
    Freeze {
        /// The agent.
        agent: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// An agent cannot reach the log.
    CutLog {
        /// The agent.
        agent: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The log is down.
    LogOutage {
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The acknowledgements of an agent's appends are lost; the records are appended.
    LoseAnswers {
        /// The agent.
        agent: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// An agent's appends reach the log late.
    DelayAppends {
        /// The agent.
        agent: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
        /// The added delay, in milliseconds.
        by_ms: u64,
    },
    /// The service refuses an agent's connections.
    RefuseService {
        /// The agent.
        agent: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The responses of the service to an agent are lost; the calls have run.
    LoseResponses {
        /// The agent.
        agent: usize,
        /// How long it lasts, in milliseconds.
        ms: u64,
    },
    /// The service is slow.
    SlowService {
        /// How long it lasts, in milliseconds.
        ms: u64,
        /// How long each call runs, in milliseconds.
        by_ms: u64,
    },
    /// The log drops its oldest records too early.
    Truncate {
        /// How many records it keeps.
        keep: usize,
    },
}

/// Builds a script from patterns of calls and faults.
struct ScriptBuilder<'a> {
    rng: &'a mut fastrand::Rng,
    steps: Vec<Step<ClaimAction>>,
    current_key: u32,
}

impl ClaimAction {
    /// Returns whether the action is a fault.
    pub(crate) fn is_fault(&self) -> bool {
        !matches!(self, Self::Call { .. })
    }

    /// Generates a random script of calls, some of which are sent more than once, and faults. One in ten has no fault.
    pub(crate) fn random_script(rng: &mut fastrand::Rng) -> Vec<Step<Self>> {
        let faulty = rng.u8(0..10) > 0;
        let patterns = rng.usize(3..8);
        let mut builder = ScriptBuilder { rng, steps: Vec::new(), current_key: 1 };
        for _ in 0..patterns {
            let at = builder.rng.u64(1_000..SCRIPT_MS);
            match builder.rng.u8(0..if faulty { 8 } else { 3 }) {
                0 => builder.single_call(at),
                1 | 2 => builder.repeated_call(at),
                3 => builder.late_append(at),
                4 => builder.truncated_winner(at),
                5 => builder.replaced_agent(at),
                6 => builder.lost_acknowledgement(at),
                _ => builder.random_fault(at),
            }
        }
        let extra = if faulty { builder.rng.usize(0..4) } else { 0 };
        for _ in 0..extra {
            let at = builder.rng.u64(1_000..SCRIPT_MS);
            builder.random_fault(at);
        }
        let mut steps = builder.steps;
        steps.sort_by_key(|step| step.at_ms);
        steps
    }
}

impl ScriptBuilder<'_> {
    fn add(&mut self, at_ms: u64, action: ClaimAction) {
        self.steps.push(Step { at_ms, action });
    }

    /// Adds a call with the current key.
    fn call(&mut self, at: u64, age_ms: i64, agent: usize) {
        let deadline_ms = self.rng.u64(500..20_000);
        let issued_ms = at as i64 - age_ms;
        let body = u8::from(self.rng.u8(0..30) == 0);
        self.add(
            at,
            ClaimAction::Call { key: self.current_key, issued_ms, body, agent: agent % AGENTS, deadline_ms },
        );
    }

    fn advance_key(&mut self) {
        self.current_key += 1;
    }

    fn single_call(&mut self, at: u64) {
        // A negative age: the caller's clock runs ahead.
        let age_ms = self.rng.i64(-900..2_000);
        let agent = self.rng.usize(0..AGENTS);
        self.call(at, age_ms, agent);
        self.advance_key();
    }

    /// The caller sends its call several times, through other entry instances, while the first one runs or later.
    fn repeated_call(&mut self, at: u64) {
        let agent = self.rng.usize(0..AGENTS);
        let issued = at as i64 - self.rng.i64(0..1_000);
        for i in 0..self.rng.u64(2..5) {
            let sent_at = at + i * self.rng.u64(0..60) + if i == 3 { 5_000 } else { 0 };
            self.call(sent_at, sent_at as i64 - issued, agent + i as usize);
        }
        self.advance_key();
    }

    /// Two calls near the end of the key's window; the append of one arrives after the key has expired.
    fn late_append(&mut self, at: u64) {
        let agent = self.rng.usize(0..AGENTS);
        let age_ms = self.rng.i64(18_000..20_000);
        let by_ms = self.rng.u64(5_500..9_500);
        self.add(at, ClaimAction::DelayAppends { agent, ms: 50, by_ms });
        for (i, wait) in [(0, 10), (1, 12)] {
            let at = at + wait;
            let issued_ms = (at as i64) - age_ms - wait as i64;
            let key = self.current_key;
            let agent = (agent + i) % AGENTS;
            self.add(at, ClaimAction::Call { key, issued_ms, body: 0, agent, deadline_ms: 25_000 });
        }
        self.advance_key();
    }

    /// Two calls with one key; the log drops the winner's records before the loser reads them.
    fn truncated_winner(&mut self, at: u64) {
        let agent = self.rng.usize(0..AGENTS);
        let wait = self.rng.u64(5..40);
        let issued = at as i64;
        self.call(at, 0, agent);
        self.call(at + wait, at as i64 + wait as i64 - issued, agent + 1);
        let pause = wait + self.rng.u64(4..20);
        let second = (agent + 1) % AGENTS;
        self.add(at + pause, ClaimAction::Freeze { agent: second, ms: 300 });
        let keep = self.rng.usize(0..4);
        self.add(at + pause + 150, ClaimAction::Truncate { keep });
        self.advance_key();
    }

    /// A call runs, the log may drop its records, and an agent that may have been replaced gets the same call.
    fn replaced_agent(&mut self, at: u64) {
        let agent = self.rng.usize(0..AGENTS);
        self.call(at, 0, agent);
        let keep = self.rng.usize(0..3);
        if self.rng.bool() {
            self.add(at + 300, ClaimAction::Truncate { keep });
        }
        let replaced = (agent + self.rng.usize(0..AGENTS)) % AGENTS;
        self.add(at + 350, ClaimAction::Kill { agent: replaced, ms: 200 });
        let again = at + self.rng.u64(1_000..4_000);
        self.call(again, (again - at) as i64, replaced);
        self.advance_key();
    }

    /// The acknowledgement of a claim is lost, and its release arrives while another call with the key runs.
    fn lost_acknowledgement(&mut self, at: u64) {
        let agent = self.rng.usize(0..AGENTS);
        let by_ms = self.rng.u64(100..1_000);
        self.add(at, ClaimAction::LoseAnswers { agent, ms: by_ms });
        self.add(at, ClaimAction::SlowService { ms: 2_000, by_ms });
        let append_delay_ms = self.rng.u64(0..300);
        self.add(at, ClaimAction::DelayAppends { agent, ms: 500, by_ms: append_delay_ms });
        for i in 0..3 {
            let wait = self.rng.u64(0..100) + i * self.rng.u64(0..400);
            self.call(at + 5 + wait, 5 + wait as i64, agent + i as usize);
        }
        self.advance_key();
    }

    fn random_fault(&mut self, at: u64) {
        let agent = self.rng.usize(0..AGENTS);
        let ms = self.rng.u64(20..4_000);
        let by_ms = self.rng.u64(10..3_000);
        let keep = self.rng.usize(0..6);
        let action = match self.rng.u8(0..10) {
            0 => ClaimAction::Kill { agent, ms },
            1 => ClaimAction::Freeze { agent, ms },
            2 => ClaimAction::CutLog { agent, ms },
            3 => ClaimAction::LogOutage { ms },
            4 => ClaimAction::LoseAnswers { agent, ms },
            5 => ClaimAction::DelayAppends { agent, ms, by_ms },
            6 => ClaimAction::RefuseService { agent, ms },
            7 => ClaimAction::LoseResponses { agent, ms },
            8 => ClaimAction::SlowService { ms, by_ms },
            _ => ClaimAction::Truncate { keep },
        };
        self.add(at, action);
    }
}
