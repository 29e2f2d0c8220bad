//! One agent on virtual time: the real claimer and the faults that act on it.

use fuchsiabay_base::{Fingerprint, Generation, InstanceId, Timestamp, WriterId};
use fuchsiabay_claims::{
    BatchId, CallId, ClaimError, ClaimKey, ClaimLimits, Claimer, DispatchResult, LoggedRecord, Submission,
};

/// Limits of the runs: short, so that a case covers several windows.
pub(crate) const LIMITS: ClaimLimits = ClaimLimits { window_ms: 20_000, skew_ms: 1_000, margin_ms: 5_000 };

/// What reaches an agent.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Submit { attempt: u64, key: ClaimKey, fingerprint: Fingerprint, deadline: Timestamp },
    Cancel { attempt: u64 },
    Tick,
    Poll,
    Page { first: u64, records: Vec<LoggedRecord> },
    ReadFailed,
    Appended { batch: BatchId, result: AppendResult },
    Service { attempt: u64, finished: DispatchResult },
}

/// How an append ended for its author.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AppendResult {
    Acknowledged,
    Refused,
    Unknown,
}

#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) life: u64,
    pub(crate) alive: bool,
    pub(crate) claimer: Claimer,
    /// Messages that wait for the end of a pause.
    pub(crate) inbox: Vec<Message>,
    pub(crate) reading: bool,
    pub(crate) tick_at: Option<Timestamp>,
    pub(crate) frozen_until: Timestamp,
    pub(crate) cut_until: Timestamp,
    pub(crate) answers_lost_until: Timestamp,
    pub(crate) service_refuses_until: Timestamp,
    pub(crate) responses_lost_until: Timestamp,
    pub(crate) appends_late_until: Timestamp,
    pub(crate) appends_late_ms: u64,
    name: String,
}

impl Agent {
    pub(crate) fn new(index: usize) -> Self {
        let name = format!("agent-{index}");
        Self {
            life: 1,
            alive: true,
            claimer: Claimer::new(writer(&name, 1), LIMITS),
            inbox: Vec::new(),
            reading: false,
            tick_at: None,
            frozen_until: Timestamp::ZERO,
            cut_until: Timestamp::ZERO,
            answers_lost_until: Timestamp::ZERO,
            service_refuses_until: Timestamp::ZERO,
            responses_lost_until: Timestamp::ZERO,
            appends_late_until: Timestamp::ZERO,
            appends_late_ms: 0,
            name,
        }
    }

    pub(crate) fn writer(&self) -> WriterId {
        writer(&self.name, self.life)
    }

    /// Ends this life. The next one inherits nothing.
    pub(crate) fn kill(&mut self) {
        self.alive = false;
        self.life += 1;
        self.claimer = Claimer::new(self.writer(), LIMITS);
        self.inbox.clear();
        self.reading = false;
        self.tick_at = None;
        self.frozen_until = Timestamp::ZERO;
    }

    /// Hands a message to the claimer. Returns whether the log is to be read.
    pub(crate) fn receive(&mut self, now: Timestamp, message: Message) -> bool {
        let claimer = &mut self.claimer;
        match message {
            Message::Submit { attempt, key, fingerprint, deadline } => {
                claimer.submit(now, Submission { call: CallId(attempt), key, fingerprint, deadline });
            }
            Message::Cancel { attempt } => _ = claimer.cancel(now, CallId(attempt), ClaimError::Cancelled),
            Message::Tick => {
                self.tick_at = None;
                claimer.tick(now);
            }
            Message::Poll => return !std::mem::replace(&mut self.reading, true),
            Message::Page { first, records } => {
                self.reading = false;
                claimer.apply_page(now, first, &records);
            }
            Message::ReadFailed => {
                self.reading = false;
                claimer.log_unavailable(now);
            }
            Message::Appended { batch, result } => match result {
                AppendResult::Acknowledged => claimer.append_acknowledged(now, batch),
                AppendResult::Refused => claimer.append_refused(now, batch),
                AppendResult::Unknown => claimer.append_unknown(now, batch),
            },
            Message::Service { attempt, finished } => {
                claimer.dispatch_finished(now, CallId(attempt), finished);
            }
        }
        false
    }
}

fn writer(name: &str, life: u64) -> WriterId {
    WriterId { instance: InstanceId::new(name), generation: Generation(life) }
}
