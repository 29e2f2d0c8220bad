//! What must hold of every instance.

use super::*;

impl ConfigWorld<'_> {
    /// Checks what a process would serve a request under at this moment.
    pub(super) fn check_serving(&mut self, process: usize) {
        let now = self.now();
        let state = &self.processes[process];
        if !state.alive || now < state.frozen_until {
            return;
        }
        let fault_ms = |step: &Step<ConfigAction>| match &step.action {
            ConfigAction::LogOutage { ms } => *ms,
            action if action.is_fault() => u64::MAX,
            _ => 0,
        };
        let only_outages = self.steps.iter().map(fault_ms).fold(0, u64::saturating_add) <= SHORT_OUTAGE_MS;
        let first = self.model.accepted.values().next().and_then(|first| first.known_at);
        let warm = first.is_some_and(|first| now >= first.plus_millis(WARM_MS));
        let serving = state.reducer.in_force().filter(|_| state.freshness.is_fresh(now));
        let Some(in_force) = serving else {
            if only_outages && warm {
                self.outcome.add_violation(format!("process {process} serves nothing at {}", ms(now)));
            }
            return;
        };
        let version = in_force.version;
        let seen = (in_force.preset.queue_limit, in_force.preset_name.as_str());
        match self.model.accepted.get(&version) {
            Some(accepted) if (accepted.mark, accepted.preset.as_str()) == seen => {}
            _ => {
                let text =
                    format!("process {process} serves version {version}, which was not accepted as such");
                return self.outcome.add_violation(text);
            }
        }
        if version < state.served {
            let text = format!("process {process} went back from version {} to {version}", state.served);
            self.outcome.add_violation(text);
        }
        self.processes[process].served = version;
        let stale = self.model.accepted.range(version + 1..).next().filter(|(_, next)| {
            next.at.plus_millis(CONFIG_LIFETIME_MS) < now
                && !self.hidden_by_outage(next.at, next.known_at, now)
        });
        if let Some((newer, next)) = stale {
            let text = format!(
                "process {process} serves version {version} at {}, but {newer} was accepted at {}",
                ms(now),
                ms(next.at)
            );
            self.outcome.add_violation(text);
        }
    }

    /// Returns whether an outage began after the log took a change and before any process read it. Nobody can
    /// know of it before the outage ends.
    pub(super) fn hidden_by_outage(
        &self,
        at: Timestamp,
        known_at: Option<Timestamp>,
        now: Timestamp,
    ) -> bool {
        self.outages.iter().any(|(start, end)| {
            at <= *start
                && known_at.is_none_or(|known_at| known_at > *start)
                && now <= end.plus_millis(CONFIG_LIFETIME_MS)
        })
    }

    /// Removes the changes that retention dropped during an outage before any process read them: they are lost.
    pub(super) fn forget_unread(&mut self) {
        let now = self.now();
        let (first, _) = self.log.read(now, u64::MAX);
        self.model.accepted.retain(|version, accepted| *version > first || accepted.known_at.is_some());
    }

    pub(super) fn evaluate(mut self) -> Outcome {
        let now = self.now();
        let current = self.model.current();
        self.outcome.add_fact("version", current.to_string());
        for state in &self.processes {
            let version = state.reducer.version();
            if current > 0 && state.alive && (version != current || !state.freshness.is_fresh(now)) {
                let text = format!("process {} did not catch up: it has version {version}", state.index);
                self.outcome.add_violation(text);
            }
        }
        for (i, proposal) in self.proposals.iter().enumerate() {
            let accepted = self.model.by_publish.get(&i).copied();
            let (told, right) = match proposal.tracker.outcome() {
                PublishOutcome::Accepted { version } => ("accepted", accepted == Some(version)),
                PublishOutcome::Rejected { .. } => ("rejected", accepted.is_none()),
                PublishOutcome::NotAppended => ("not appended", accepted.is_none()),
                PublishOutcome::Unknown => ("unknown", true),
            };
            self.outcome.add_fact(format!("proposal {i}"), told);
            if !right {
                self.outcome.add_violation(format!("the author of proposal {i} was told: {told}"));
            }
        }
        self.outcome
    }
}
