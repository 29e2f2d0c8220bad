//! Identifiers. Each kind is a newtype, so that one kind cannot be passed for another.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates an id from its text.
            pub fn new(id: impl Into<String>) -> Self {
                Self(id.into())
            }

            /// Returns the text of the id.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(id: &str) -> Self {
                Self(id.to_owned())
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

string_id! {
    /// Names an instance: an entry instance or the agent beside a backend server.
    InstanceId
}
string_id! {
    /// Names a workspace, the unit of fairness and limits among callers.
    WorkspaceId
}
string_id! {
    /// Names an availability zone.
    ZoneName
}
string_id! {
    /// Names a model or plain service that backend servers offer.
    ServiceName
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number_id! {
    /// Identifies one attempt of a request. Ids belong to attempts rather than requests, so that late frames of an
    /// abandoned attempt are never attributed to the next one.
    AttemptId
}
number_id! {
    /// Distinguishes successive incarnations of an instance under the same name or address. It is the start time in
    /// milliseconds, so a later incarnation has a larger number.
    Generation
}

/// Identifies one incarnation of an instance as a writer of log records.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct WriterId {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation of the instance.
    pub generation: Generation,
}

impl fmt::Display for WriterId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.generation)
    }
}
