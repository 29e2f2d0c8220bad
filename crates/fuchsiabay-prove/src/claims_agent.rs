//! An agent on virtual time: the real claimer and the faults that affect the agent.

use fuchsiabay_base::{Fingerprint, Generation, InstanceId, Timestamp, WriterId};
use fuchsiabay_claims::{
    BatchId, CallId, ClaimError, ClaimKey, ClaimLimits, Claimer, DispatchResult, LoggedRecord, Submission,
};

/// The limits of all claimers. They are short, so that a case spans several windows.
pub(crate) const LIMITS: ClaimLimits = ClaimLimits { window_ms: 20_000, skew_ms: 1_000, margin_ms: 5_000 };

/// A message to an agent.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    Submit { attempt: u64, key: ClaimKey, fingerprint: Fingerprint, deadline: Timestamp },
    Cancel { attempt: u64 },
    Tick,
    Poll,
    Page { first: u64, records: Vec<LoggedRecord> },
    ReadFailed,
    Appended { batch: BatchId, result: AppendResult },
    Service { attempt: u64, result: DispatchResult },
}

/// The result of an append, as its sender sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AppendResult {
    Acknowledged,
    Refused,
    Unknown,
}

#[derive(Debug)]
pub(crate) struct Agent {
    /// Grows with each restart.
    pub(crate) incarnation: u64,
    pub(crate) alive: bool,
    pub(crate) claimer: Claimer,
    /// Messages that arrived while the agent was frozen.
    pub(crate) inbox: Vec<Message>,
    pub(crate) reading: bool,
    pub(crate) tick_at: Option<Timestamp>,
    pub(crate) frozen_until: Timestamp,
    pub(crate) log_unreachable_until: Timestamp,
    pub(crate) acks_lost_until: Timestamp,
    pub(crate) service_refuses_until: Timestamp,
    pub(crate) service_responses_lost_until: Timestamp,
    pub(crate) appends_delayed_until: Timestamp,
    pub(crate) append_delay_ms: u64,
    name: String,
}

impl Agent {
    pub(crate) fn new(index: usize) -> Self {
        let name = format!("agent-{index}");
        Self {
            incarnation: 1,
            alive: true,
            claimer: Claimer::new(writer_id(&name, 1), LIMITS),
            inbox: Vec::new(),
            reading: false,
            tick_at: None,
            frozen_until: Timestamp::ZERO,
            log_unreachable_until: Timestamp::ZERO,
            acks_lost_until: Timestamp::ZERO,
            service_refuses_until: Timestamp::ZERO,
            service_responses_lost_until: Timestamp::ZERO,
            appends_delayed_until: Timestamp::ZERO,
            append_delay_ms: 0,
            name,
        }
    }

    pub(crate) fn writer_id(&self) -> WriterId {
        writer_id(&self.name, self.incarnation)
    }

    /// Ends this incarnation. The next one starts without any state.
    pub(crate) fn kill(&mut self) {
        self.alive = false;
        self.incarnation += 1;
        self.claimer = Claimer::new(self.writer_id(), LIMITS);
        self.inbox.clear();
        self.reading = false;
        self.tick_at = None;
        self.frozen_until = Timestamp::ZERO;
    }

    /// Passes a message to the claimer. Returns whether the agent must read the log.
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
            Message::Service { attempt, result } => {
                claimer.dispatch_finished(now, CallId(attempt), result);
            }
        }
        false
    }
}

fn writer_id(name: &str, incarnation: u64) -> WriterId {
    WriterId { instance: InstanceId::new(name), generation: Generation(incarnation) }
}
