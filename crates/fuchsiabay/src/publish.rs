//! `fuchsiabay publish`.

use std::path::Path;

use fuchsiabay_config::{ConfigRecord, Document, PublishId};

use crate::{
    Report, check,
    config_log::ConfigLog,
    config_view::ConfigView,
    proposal::{conflict, propose, unchanged},
};

/// Publishes the document in `file`.
pub(crate) async fn publish_file(
    log: &impl ConfigLog,
    publish: PublishId,
    based_on: Option<u64>,
    file: &Path,
) -> Report {
    match check::load_document(file) {
        Ok(document) => publish_document(log, publish, based_on, &document).await,
        Err(error) => check::report(&[(file.to_owned(), Err(error))]),
    }
}

/// Publishes `document` on top of `based_on`, or of the version in force.
///
/// Does nothing if `document` is already in force, so that a command whose outcome is unknown can be repeated.
pub(crate) async fn publish_document(
    log: &impl ConfigLog,
    publish: PublishId,
    based_on: Option<u64>,
    document: &Document,
) -> Report {
    let view = match ConfigView::load(log).await {
        Ok(view) => view,
        Err(error) => return error.report(),
    };
    if let Some(in_force) = view.in_force()
        && in_force.document == *document
    {
        return unchanged(in_force.version, "this document");
    }
    let based_on = based_on.unwrap_or(view.version());
    if based_on != view.version() {
        return conflict(based_on, view.version());
    }
    let record = ConfigRecord::publish(publish, based_on, document);
    propose(log, view, &record).await
}
