//! What an agent serves to one connected entry instance.

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

/// Cancellations remembered for submissions that they overtook. An overtaken submission follows within milliseconds.
const REMEMBERED_CANCELS: usize = 1024;

/// The attempts of one connection.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) peer: Peer,
    state: Mutex<SessionState>,
}

#[derive(Debug, Default)]
struct SessionState {
    closed: bool,
    jobs: HashMap<AttemptId, JobId>,
    cancelled: VecDeque<AttemptId>,
}

impl Session {
    fn new(peer: Peer) -> Arc<Self> {
        Arc::new(Self { peer, state: Mutex::default() })
    }

    /// Enters an attempt. Returns false if it was cancelled before, is known already, or nobody waits for it.
    pub(crate) fn enter(&self, attempt: AttemptId, job: JobId) -> bool {
        let mut state = self.state.lock();
        if state.closed || state.cancelled.contains(&attempt) || state.jobs.contains_key(&attempt) {
            return false;
        }
        state.jobs.insert(attempt, job);
        true
    }

    /// Forgets an attempt that ended.
    pub(crate) fn leave(&self, attempt: AttemptId) {
        self.state.lock().jobs.remove(&attempt);
    }

    /// Returns the job to cancel. An unknown attempt ended, or its submission was overtaken and will be refused.
    fn cancel(&self, attempt: AttemptId) -> Option<JobId> {
        let mut state = self.state.lock();
        let job = state.jobs.get(&attempt).copied();
        if job.is_none() {
            state.cancelled.push_back(attempt);
            if state.cancelled.len() > REMEMBERED_CANCELS {
                state.cancelled.pop_front();
            }
        }
        job
    }

    fn close(&self) -> Vec<JobId> {
        let mut state = self.state.lock();
        state.closed = true;
        let mut jobs: Vec<_> = state.jobs.values().copied().collect();
        jobs.sort();
        jobs
    }
}

/// Serves the remote calls of one entry instance.
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
            // An attempt that ended may have run, so nothing stronger can be said of an unknown one.
            None => Verdict::MayHaveRun,
        };
        Ok(CancelReply { verdict })
    }

    async fn load(&self) -> RpcResult<LoadReport> {
        Ok(self.agent.load())
    }
}

impl<C: ConfigView> PeerService for Agent<C> {
    fn methods(self: &Arc<Self>, peer: &Peer) -> Methods {
        if peer.hello().role != Role::Entry {
            log::warn!("agent: {} is not an entry instance and gets nothing served", peer.hello().instance);
            return Methods::new();
        }
        let session = Session::new(peer.clone());
        self.add_neighbour(peer);
        let (agent, closing) = (Arc::clone(self), Arc::clone(&session));
        spawn(async move {
            closing.peer.closed().await;
            agent.abandon(&closing.close());
        })
        .detach();
        SessionApi { agent: Arc::clone(self), session }.into_rpc().into()
    }
}

/// Returns the refusal of an attempt that nobody waits for any more. The entry instance that cancelled it does not
/// read the reason.
pub(crate) const ABANDONED: RefusalReason = RefusalReason::WouldMissDeadline;
