//! Refusal of streams that a slow group cannot complete in time.

use fuchsiabay_base::Timestamp;

use super::{ExpectedStream, Job, JobId, Pool, Refusal, RefusalReason};

/// The ratio of the predicted duration of a stream to its caller's remaining time from which it is refused. The length of a
/// response is only an estimate, and the group may recover.
const MIN_EXCESS: f64 = 2.0;

/// The minimum ratio of the time between events to its goal for a group to count as slow. Full slots alone stay far below it.
const MIN_GAP_RATIO: f64 = 2.0;

/// The interval at which one request is let through to find out whether the group is fast again, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;

/// The request that was let through last, although the group was too slow for it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Probe {
    at: Timestamp,
    /// The job, if it waits for a slot.
    job: Option<JobId>,
}

impl Pool {
    /// Returns the refusal of a new job that the group is too slow for. From time to time, such a job is let through instead.
    pub(super) fn refuse_if_too_slow(&mut self, job: &Job, now: Timestamp) -> Option<Refusal> {
        let refusal = self.too_slow(job, now)?;
        let is_probe_due = self.probe.is_none_or(|probe| now.millis_since(probe.at) >= PROBE_INTERVAL_MS);
        if is_probe_due {
            self.probe = Some(Probe { at: now, job: None });
            return None;
        }
        Some(refusal)
    }

    /// Records that a new job waits for a slot. If it was let through at `now`, it keeps waiting.
    pub(super) fn record_queued_probe(&mut self, id: JobId, now: Timestamp) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.at == now && probe.job.is_none()) {
            probe.job = Some(id);
        }
    }

    /// Removes the waiting jobs that the group has become too slow for, and returns them.
    pub fn refuse_too_slow(&mut self, now: Timestamp) -> Vec<(JobId, Refusal)> {
        let probe = self.probe.and_then(|probe| probe.job);
        let waiting = self.queue.iter().filter(|(id, _)| Some(*id) != probe);
        let refused: Vec<_> = waiting.filter_map(|(id, job)| Some((*id, self.too_slow(job, now)?))).collect();
        refused.iter().for_each(|(id, _)| drop(self.queue.remove(*id)));
        refused
    }

    /// Returns the refusal of a job that the group would not complete in time, or whose caller would leave between two events. A
    /// resumption is never refused, because its caller has already received part of the response.
    fn too_slow(&self, job: &Job, now: Timestamp) -> Option<Refusal> {
        let stream = job.stream.filter(|_| !job.is_resumption)?;
        let gap_ms = self.slow_gap_ms(MIN_GAP_RATIO, now)?;
        let (needed_ms, left_ms) =
            (stream.duration_ms(gap_ms, self.stride()), stream.ends_by.millis_since(now));
        let callers_leave = stream.patience_ms.is_some_and(|patience_ms| gap_ms > patience_ms as f64);
        let is_too_slow = callers_leave || needed_ms > left_ms as f64 * MIN_EXCESS;
        is_too_slow.then(|| self.refusal(RefusalReason::TooSlow, (needed_ms as u64).saturating_sub(left_ms)))
    }

    fn stride(&self) -> u32 {
        self.engine.as_ref().map_or(1, |engine| engine.stride.max(1))
    }
}

impl ExpectedStream {
    /// Predicts the duration of the stream if its events, of `stride` tokens each, are `gap_ms` apart.
    fn duration_ms(&self, gap_ms: f64, stride: u32) -> f64 {
        self.output_tokens.div_ceil(u64::from(stride)) as f64 * gap_ms
    }
}
