//! Exit codes of the command.

use std::process::ExitCode;

/// The outcome of a command. Operators' scripts branch on the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Exit {
    /// 0: the command succeeded.
    Done,
    /// 2: the input is invalid, or the change was refused because of its content.
    Invalid,
    /// 3: another change was accepted first.
    Conflict,
    /// 4: the platform or an instance did not respond, or the version is not in force everywhere.
    Unavailable,
}

impl Exit {
    /// Returns the exit code.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Invalid => 2,
            Self::Conflict => 3,
            Self::Unavailable => 4,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
