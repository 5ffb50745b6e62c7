use std::fmt;

use crate::cmd::Refusal;

/// Why a command did not succeed; decides the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The work was done and failed, or a file could not be read or written.
    Failed,
    /// The command line or an input file is wrong; nothing was sent.
    Usage,
    /// The system answered and refused.
    Refused,
    /// No entry host answered.
    Unreachable,
}

impl FailureKind {
    /// Exit code of the process.
    pub fn exit_code(self) -> u8 {
        match self {
            Self::Failed => 1,
            Self::Usage => 2,
            Self::Refused => 3,
            Self::Unreachable => 4,
        }
    }
}

/// A failure of a command, with advice on what to do next.
#[derive(Debug)]
pub struct Failure {
    /// What kind of failure it is.
    pub kind: FailureKind,
    /// Refusal of the system, when that is the cause.
    pub refusal: Option<Box<Refusal>>,
    message: String,
    advice: String,
}

impl Failure {
    /// The work failed.
    pub fn failed(message: impl Into<String>, advice: impl Into<String>) -> Self {
        Self::new(FailureKind::Failed, message, advice)
    }

    /// The command line or an input is wrong.
    pub fn usage(message: impl Into<String>, advice: impl Into<String>) -> Self {
        Self::new(FailureKind::Usage, message, advice)
    }

    /// No entry host answered.
    pub fn unreachable(message: impl Into<String>, advice: impl Into<String>) -> Self {
        Self::new(FailureKind::Unreachable, message, advice)
    }

    /// The system refused.
    pub fn refused(refusal: Refusal) -> Self {
        let (message, advice) = (refusal.to_string(), refusal.advice());
        Self {
            refusal: Some(Box::new(refusal)),
            ..Self::new(FailureKind::Refused, message, advice)
        }
    }

    fn new(kind: FailureKind, message: impl Into<String>, advice: impl Into<String>) -> Self {
        Self { kind, refusal: None, message: message.into(), advice: advice.into() }
    }

    /// The same failure with other advice.
    pub fn with_advice(mut self, advice: impl Into<String>) -> Self {
        self.advice = advice.into();
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl std::error::Error for Failure {}

impl miette::Diagnostic for Failure {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        if self.advice.is_empty() {
            return None;
        }
        Some(Box::new(&self.advice))
    }
}

impl From<pico_args::Error> for Failure {
    fn from(error: pico_args::Error) -> Self {
        Self::usage(error.to_string(), "run the command with --help to see its options")
    }
}
