//! One admitted attempt.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU32, Ordering},
};

use fuchsiabay_admission::{Job, JobId};
use fuchsiabay_base::{AttemptId, IdempotencyKey, Timestamp};
use fuchsiabay_wire::{SubmitRequest, Work};
use smol::channel::{Receiver, Sender};

use crate::session::Session;

/// The prompt length that is estimated as one token, in bytes. The agent does not know the engine's tokenizer; four is
/// typical of prose.
const PROMPT_BYTES_PER_TOKEN: usize = 4;

/// A message to the task that runs an attempt. Messages arrive in the order in which they were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ControlMessage {
    Cancel,
    Pause,
    Resume,
    /// The paused attempt is handed back to the entry instance, to be resumed on another backend server.
    HandBack,
    /// The backend server crashed.
    BackendCrashed,
}

/// One admitted attempt.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) job: JobId,
    pub(crate) req: SubmitRequest,
    pub(crate) session: Arc<Session>,
    pub(crate) submitted_at: Timestamp,
    /// When the caller stops waiting, on the monotonic clock.
    pub(crate) deadline: Timestamp,
    pub(crate) control_tx: Sender<ControlMessage>,
    pub(crate) control_rx: Receiver<ControlMessage>,
    /// Set before the scheduler is asked to cancel, so that a concurrent submission of the attempt observes it.
    cancelled: AtomicBool,
    /// Whether the call won the claim of its key.
    claimed: AtomicBool,
    /// The tokens produced so far, which an attempt that ends early is charged for.
    produced: AtomicU32,
}

impl Attempt {
    pub(crate) fn new(
        job: JobId,
        req: SubmitRequest,
        session: Arc<Session>,
        now: Timestamp,
        deadline: Timestamp,
    ) -> Self {
        let (control_tx, control_rx) = smol::channel::unbounded();
        Self {
            job,
            req,
            session,
            submitted_at: now,
            deadline,
            control_tx,
            control_rx,
            cancelled: AtomicBool::new(false),
            claimed: AtomicBool::new(false),
            produced: AtomicU32::new(0),
        }
    }

    pub(crate) fn id(&self) -> AttemptId {
        self.req.attempt
    }

    /// Returns the idempotency key of a call that must run at most once.
    pub(crate) fn claim_key(&self) -> Option<IdempotencyKey> {
        match self.req.work {
            Work::Plain { .. } if !self.req.idempotent => self.req.key,
            _ => None,
        }
    }

    /// Returns the scheduler's view of the attempt.
    pub(crate) fn as_job(&self, weight: u32) -> Job {
        Job {
            id: self.job,
            workspace: self.req.workspace.clone(),
            weight,
            fingerprint: self.req.fingerprint,
            priority: self.req.priority as u8,
            estimated_tokens: self.req.estimated_tokens.max(1),
            deadline: self.deadline,
            solo: self.req.solo,
            pausable: matches!(self.req.work, Work::Generate { .. }),
        }
    }

    /// Returns the cost in tokens after `produced` tokens have been produced. It includes the prompt, as the estimate
    /// does.
    pub(crate) fn cost(&self, produced: u32) -> u32 {
        match &self.req.work {
            Work::Generate { prompt, .. } => {
                produced.saturating_add((prompt.len() / PROMPT_BYTES_PER_TOKEN) as u32)
            }
            Work::Plain { .. } => self.req.estimated_tokens.max(1),
        }
    }

    pub(crate) fn set_produced(&self, tokens: u32) {
        self.produced.store(tokens, Ordering::Relaxed);
    }

    pub(crate) fn produced(&self) -> u32 {
        self.produced.load(Ordering::Relaxed)
    }

    pub(crate) fn mark_cancelled(&self) {
        self.cancelled.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled.load(Ordering::SeqCst)
    }

    pub(crate) fn mark_claimed(&self) {
        self.claimed.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_claimed(&self) -> bool {
        self.claimed.load(Ordering::SeqCst)
    }

    /// Sends a message to the task that runs the attempt. Has no effect if the attempt has ended.
    pub(crate) fn send_control(&self, control: ControlMessage) {
        let _ = self.control_tx.try_send(control);
    }
}
