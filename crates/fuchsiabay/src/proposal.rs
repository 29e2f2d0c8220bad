//! Proposes a change and waits for its outcome.

use fuchsiabay_config::{ConfigRecord, PublishOutcome, PublishTracker, RejectReason};
use fuchsiabay_runtime::LogError;
use serde_json::json;

use crate::{Exit, Report, config_log::ConfigLog, config_view::ConfigView};

/// Appends `record` and reads the log until the change is accepted or rejected, or the timeout of the command expires.
///
/// The outcome is determined only from the log: if the response to the append was lost, the record is found by its
/// publish ID.
pub(crate) async fn propose(log: &impl ConfigLog, mut view: ConfigView, record: &ConfigRecord) -> Report {
    let Some(mut tracker) = PublishTracker::new(record) else {
        return Report::new(Exit::Invalid, "a snapshot is not a proposal", json!({"result": "refused"}));
    };
    let mut last_error = None;
    match log.append(record).await {
        Ok(()) => {}
        Err(error @ LogError::NoEffect(_)) => {
            tracker.append_refused();
            last_error = Some(error);
        }
        Err(error) => last_error = Some(error),
    }
    while tracker.outcome() == PublishOutcome::Unknown {
        if let Err(error) = view.catch_up(log, Some(&mut tracker)).await {
            last_error = Some(error);
        }
        if tracker.outcome() == PublishOutcome::Unknown && !log.pause().await {
            break;
        }
    }
    report(record, tracker.outcome(), last_error)
}

fn report(record: &ConfigRecord, outcome: PublishOutcome, last_error: Option<LogError>) -> Report {
    let publish = record.publish_id();
    let message = last_error
        .map_or_else(|| "log: the record was not found in the stream".into(), |error| error.to_string());
    match outcome {
        PublishOutcome::Accepted { version } => Report::new(
            Exit::Done,
            format!("accepted as version {version}; it is in force everywhere within 6 s"),
            json!({"result": "accepted", "version": version, "publish": publish}),
        ),
        PublishOutcome::Rejected { reason: RejectReason::StaleBase { based_on, current } } => {
            conflict(based_on, current)
        }
        PublishOutcome::Rejected { reason } => Report::new(
            Exit::Invalid,
            format!("refused: {reason}"),
            json!({"result": "refused", "message": reason.to_string(), "publish": publish}),
        ),
        PublishOutcome::NotAppended => Report::new(
            Exit::Unavailable,
            format!("{message}; the change did not take effect and will not"),
            json!({
                "result": "unavailable", "may_have_taken_effect": false, "message": message, "publish": publish,
            }),
        ),
        PublishOutcome::Unknown => Report::new(
            Exit::Unavailable,
            format!(
                "{message}; the change may have taken effect; it is safe to run the same command \
                 again"
            ),
            json!({
                "result": "unavailable", "may_have_taken_effect": true, "message": message, "publish": publish,
            }),
        ),
    }
}

/// Returns the report of a change that conflicts with another one.
pub(crate) fn conflict(based_on: u64, current: u64) -> Report {
    Report::new(
        Exit::Conflict,
        format!(
            "conflict: the change is based on version {based_on}, but version {current} is in force; nothing \
             changed"
        ),
        json!({"result": "conflict", "based_on": based_on, "version": current}),
    )
}

/// Returns the report of a change that is already in force.
pub(crate) fn unchanged(version: u64, subject: &str) -> Report {
    Report::new(
        Exit::Done,
        format!("{subject} is already in force as version {version}; nothing changed"),
        json!({"result": "already-in-force", "version": version}),
    )
}
