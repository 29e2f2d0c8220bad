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

/// Characters of a prompt that count as one token. The engine's tokenizer is not known here, and four is usual for
/// prose.
const CHARS_PER_TOKEN: usize = 4;

/// What a running attempt is told, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Control {
    Cancel,
    Pause,
    Resume,
    /// Another backend server is to resume the paused attempt.
    HandBack,
    /// The backend server crashed.
    Lost,
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
    pub(crate) control: Sender<Control>,
    pub(crate) orders: Receiver<Control>,
    /// Set before the scheduler is asked to cancel, so that a submission that is under way sees it.
    cancelled: AtomicBool,
    /// The claim of a keyed call was won.
    claimed: AtomicBool,
    /// Tokens that were produced, for the charge of an attempt that ends early.
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
        let (control, orders) = smol::channel::unbounded();
        Self {
            job,
            req,
            session,
            submitted_at: now,
            deadline,
            control,
            orders,
            cancelled: AtomicBool::new(false),
            claimed: AtomicBool::new(false),
            produced: AtomicU32::new(0),
        }
    }

    pub(crate) fn id(&self) -> AttemptId {
        self.req.attempt
    }

    /// Returns the key of a call that must run at most once.
    pub(crate) fn claim_key(&self) -> Option<IdempotencyKey> {
        match self.req.work {
            Work::Plain { .. } if !self.req.idempotent => self.req.key,
            _ => None,
        }
    }

    /// Returns the attempt as the scheduler sees it.
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

    /// Returns the cost in tokens once `produced` tokens were produced. It counts the prompt like the estimate does.
    pub(crate) fn cost(&self, produced: u32) -> u32 {
        match &self.req.work {
            Work::Generate { prompt, .. } => produced.saturating_add((prompt.len() / CHARS_PER_TOKEN) as u32),
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

    /// Tells the running attempt. One that ended already hears nothing.
    pub(crate) fn tell(&self, control: Control) {
        let _ = self.control.try_send(control);
    }
}
