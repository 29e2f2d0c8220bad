//! The RPC service that an agent offers to a connected entry instance.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use fuchsiabay_admission::JobId;
use fuchsiabay_base::{AttemptId, Verdict};
use fuchsiabay_runtime::{Peer, PeerService, spawn};
use fuchsiabay_wire::{
    AgentApiServer, CancelReply, LoadReport, RefusalReason, Role, SubmitReply, SubmitRequest,
};
use jsonrpsee::{
    Methods,
    core::{RpcResult, async_trait},
};
use parking_lot::Mutex;

use crate::{Agent, ConfigView};

/// The maximum number of cancellations kept for attempts that have not been submitted yet. A submission that was
/// overtaken by its cancellation follows within milliseconds.
const MAX_EARLY_CANCELS: usize = 1024;

/// The connection to an entry instance and its open attempts.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) peer: Peer,
    state: Mutex<SessionState>,
}

#[derive(Debug, Default)]
struct SessionState {
    closed: bool,
    jobs: HashMap<AttemptId, JobId>,
    /// The attempts that were cancelled while they were unknown, oldest first.
    early_cancels: VecDeque<AttemptId>,
}

impl Session {
    fn new(peer: Peer) -> Arc<Self> {
        Arc::new(Self { peer, state: Mutex::default() })
    }

    /// Registers an attempt. Returns `false` if it has already been cancelled or registered, or if the connection is
    /// closed.
    pub(crate) fn register(&self, attempt: AttemptId, job: JobId) -> bool {
        let mut state = self.state.lock();
        if state.closed || state.early_cancels.contains(&attempt) || state.jobs.contains_key(&attempt) {
            return false;
        }
        state.jobs.insert(attempt, job);
        true
    }

    /// Removes an attempt that has ended.
    pub(crate) fn unregister(&self, attempt: AttemptId) {
        self.state.lock().jobs.remove(&attempt);
    }

    /// Returns the job to cancel. An unknown attempt has either ended, or its submission was overtaken by this
    /// cancellation and will be refused.
    fn cancel(&self, attempt: AttemptId) -> Option<JobId> {
        let mut state = self.state.lock();
        let job = state.jobs.get(&attempt).copied();
        if job.is_none() {
            state.early_cancels.push_back(attempt);
            if state.early_cancels.len() > MAX_EARLY_CANCELS {
                state.early_cancels.pop_front();
            }
        }
        job
    }

    /// Rejects further attempts and returns the jobs of the open ones.
    fn close(&self) -> Vec<JobId> {
        let mut state = self.state.lock();
        state.closed = true;
        let mut jobs: Vec<_> = state.jobs.values().copied().collect();
        jobs.sort();
        jobs
    }
}

/// Serves the RPCs of one entry instance.
struct SessionApi<C> {
    agent: Arc<Agent<C>>,
    session: Arc<Session>,
}

#[async_trait]
impl<C: ConfigView> AgentApiServer for SessionApi<C> {
    async fn submit(&self, req: SubmitRequest) -> RpcResult<SubmitReply> {
        Ok(self.agent.submit(&self.session, req))
    }

    async fn cancel(&self, attempt: AttemptId) -> RpcResult<CancelReply> {
        let verdict = match self.session.cancel(attempt) {
            Some(job) => self.agent.cancel(job),
            // The attempt is unknown. It may have ended, and an attempt that has ended may have run.
            None => Verdict::MayHaveRun,
        };
        Ok(CancelReply { verdict })
    }

    async fn load(&self) -> RpcResult<LoadReport> {
        Ok(self.agent.load_report())
    }
}

impl<C: ConfigView> PeerService for Agent<C> {
    fn methods(self: &Arc<Self>, peer: &Peer) -> Methods {
        if peer.hello().role != Role::Entry {
            log::warn!(
                "agent: {} is not an entry instance; serving no RPC methods to it",
                peer.hello().instance
            );
            return Methods::new();
        }
        let session = Session::new(peer.clone());
        self.add_neighbour(peer);
        let (agent, closing) = (Arc::clone(self), Arc::clone(&session));
        spawn(async move {
            closing.peer.closed().await;
            agent.cancel_all(&closing.close());
        })
        .detach();
        SessionApi { agent: Arc::clone(self), session }.into_rpc().into()
    }
}

/// The refusal reason for an attempt that nobody waits for any more. The entry instance that cancelled it ignores the
/// reason.
pub(crate) const NO_LONGER_AWAITED: RefusalReason = RefusalReason::WouldMissDeadline;
