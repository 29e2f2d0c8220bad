//! The checks of every process and the evaluation of a case.

use super::*;

impl ConfigWorld<'_> {
    /// Checks the configuration under which a process would serve a request at this time.
    pub(super) fn check_serving(&mut self, process: usize) {
        let now = self.now();
        let state = &self.processes[process];
        if !state.alive || now < state.frozen_until {
            return;
        }
        // Any other fault counts as an outage that is too long.
        let outage_ms = |step: &Step<ConfigAction>| match &step.action {
            ConfigAction::LogOutage { ms } => *ms,
            action if action.is_fault() => u64::MAX,
            _ => 0,
        };
        let only_short_outages =
            self.steps.iter().map(outage_ms).fold(0, u64::saturating_add) <= SHORT_OUTAGE_MS;
        let first_known_at = self.model.accepted.values().next().and_then(|first| first.known_at);
        let is_warmed_up = first_known_at.is_some_and(|known_at| now >= known_at.plus_millis(WARM_UP_MS));
        let served = state.reducer.in_force().filter(|_| state.freshness.is_fresh(now));
        let Some(in_force) = served else {
            if only_short_outages && is_warmed_up {
                self.outcome
                    .add_violation(format!("process {process} serves nothing at {}", format_time(now)));
            }
            return;
        };
        let version = in_force.version;
        let content = (in_force.preset.queue_limit, in_force.preset_name.as_str());
        match self.model.accepted.get(&version) {
            Some(accepted) if (accepted.mark, accepted.preset.as_str()) == content => {}
            _ => {
                let text =
                    format!("process {process} serves version {version}, which was not accepted as such");
                return self.outcome.add_violation(text);
            }
        }
        if version < state.served_version {
            let text =
                format!("process {process} went back from version {} to {version}", state.served_version);
            self.outcome.add_violation(text);
        }
        self.processes[process].served_version = version;
        let stale = self.model.accepted.range(version + 1..).next().filter(|(_, next)| {
            next.at.plus_millis(CONFIG_LIFETIME_MS) < now
                && !self.hidden_by_outage(next.at, next.known_at, now)
        });
        if let Some((newer, next)) = stale {
            let text = format!(
                "process {process} serves version {version} at {}, but {newer} was accepted at {}",
                format_time(now),
                format_time(next.at)
            );
            self.outcome.add_violation(text);
        }
    }

    /// Returns whether an outage began after a change was appended and before any process read it. No process can read
    /// the change before the outage ends.
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

    /// Removes the changes that the retention dropped during an outage before any process read them. They are lost.
    pub(super) fn drop_unread(&mut self) {
        let now = self.now();
        let (first, _) = self.log.read(now, u64::MAX);
        self.model.accepted.retain(|version, accepted| *version > first || accepted.known_at.is_some());
    }

    pub(super) fn evaluate(mut self) -> Outcome {
        let now = self.now();
        let current = self.model.current_version();
        self.outcome.add_fact("version", current.to_string());
        for state in &self.processes {
            let version = state.reducer.version();
            if current > 0 && state.alive && (version != current || !state.freshness.is_fresh(now)) {
                let text = format!("process {} did not catch up: it has version {version}", state.index);
                self.outcome.add_violation(text);
            }
        }
        for (i, proposal) in self.proposals.iter().enumerate() {
            let accepted = self.model.by_proposal.get(&i).copied();
            let (result, correct) = match proposal.tracker.outcome() {
                PublishOutcome::Accepted { version } => ("accepted", accepted == Some(version)),
                PublishOutcome::Rejected { .. } => ("rejected", accepted.is_none()),
                PublishOutcome::NotAppended => ("not appended", accepted.is_none()),
                PublishOutcome::Unknown => ("unknown", true),
            };
            self.outcome.add_fact(format!("proposal {i}"), result);
            if !correct {
                self.outcome.add_violation(format!("the author of proposal {i} was told: {result}"));
            }
        }
        self.outcome
    }
}
