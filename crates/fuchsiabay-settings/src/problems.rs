//! Collects the validation problems of a value.

use std::{fmt::Display, net::SocketAddr, ops::RangeInclusive};

/// The maximum length of the name of an instance, zone, region, service or group.
const MAX_NAME_BYTES: usize = 64;

/// Validation problems, as pairs of a field path and a message that states what is allowed.
#[derive(Debug, Default)]
pub(crate) struct Problems(Vec<(String, String)>);

impl Problems {
    /// Adds a problem of `field` unless `ok`.
    pub(crate) fn require(&mut self, ok: bool, field: &str, allowed: impl Display) {
        if !ok {
            self.0.push((field.to_owned(), format!("allowed: {allowed}")));
        }
    }

    /// Requires a number within `range`. The message states the range in `unit`.
    pub(crate) fn range<T: PartialOrd + Display>(
        &mut self,
        value: T,
        range: RangeInclusive<T>,
        field: &str,
        unit: &str,
    ) {
        let allowed = format!("{} to {} {unit}", range.start(), range.end());
        self.require(range.contains(&value), field, allowed);
    }

    /// Requires a name that is valid in addresses, stream names and metric labels.
    pub(crate) fn name(&mut self, name: &str, field: &str) {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
        let ok = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed);
        self.require(ok, field, "1 to 64 letters, digits, `-`, `_` or `.`");
    }

    /// Requires the URL of a service, whose host must be an IP address.
    pub(crate) fn url(&mut self, url: &str, field: &str) {
        let authority = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
        let ok = authority.is_some_and(|authority| authority.parse::<SocketAddr>().is_ok());
        self.require(ok, field, "http:// with an IP address and a port, such as http://10.0.0.1:9000");
    }

    /// Returns the pairs of field path and message.
    pub(crate) fn into_pairs(self) -> Vec<(String, String)> {
        self.0
    }
}
