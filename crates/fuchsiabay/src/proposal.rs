//! Proposes a change and waits until it is settled.

use fuchsiabay_config::{ConfigRecord, PublishOutcome, PublishTracker, RejectReason};
use fuchsiabay_runtime::LogError;
use serde_json::json;

use crate::{Exit, Report, config_log::ConfigLog, config_view::ConfigView};

/// Appends `record` and reads the log until the change is accepted, rejected, or the time is over.
///
/// Only what was read back counts: an append whose answer was lost is found again by its publish id.
pub(crate) async fn propose(log: &impl ConfigLog, mut view: ConfigView, record: &ConfigRecord) -> Report {
    let Some(mut tracker) = PublishTracker::new(record) else {
        return Report::new(Exit::Invalid, "a snapshot proposes nothing", json!({"result": "refused"}));
    };
    let mut trouble = None;
    match log.append(record).await {
        Ok(()) => {}
        Err(error @ LogError::NoEffect(_)) => {
            tracker.append_refused();
            trouble = Some(error);
        }
        Err(error) => trouble = Some(error),
    }
    while tracker.outcome() == PublishOutcome::Unknown {
        if let Err(error) = view.catch_up(log, Some(&mut tracker)).await {
            trouble = Some(error);
        }
        if tracker.outcome() == PublishOutcome::Unknown && !log.pause().await {
            break;
        }
    }
    report(record, tracker.outcome(), trouble)
}

fn report(record: &ConfigRecord, outcome: PublishOutcome, trouble: Option<LogError>) -> Report {
    let publish = record.publish_id();
    let trouble = trouble.map_or_else(|| "log: the record does not appear".into(), |error| error.to_string());
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
            format!("{trouble}; the change did not take effect and will not"),
            json!({
                "result": "unavailable", "may_have_taken_effect": false, "message": trouble, "publish": publish,
            }),
        ),
        PublishOutcome::Unknown => Report::new(
            Exit::Unavailable,
            format!(
                "{trouble}; the change may have taken effect; run the same command again, which changes nothing \
                 twice"
            ),
            json!({
                "result": "unavailable", "may_have_taken_effect": true, "message": trouble, "publish": publish,
            }),
        ),
    }
}

/// Returns the report of a change that lost against another.
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

/// Returns the report of a change that was made before.
pub(crate) fn unchanged(version: u64, what: &str) -> Report {
    Report::new(
        Exit::Done,
        format!("{what} is already in force as version {version}; nothing changed"),
        json!({"result": "already-in-force", "version": version}),
    )
}
