use crate::schema::peer::{call, Call};
use crate::schema::{ledger, state};

/// Classes of calls in the order in which a busy host serves them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallClass {
    /// Configurations, reports and notices of hosts, calls of operators and whatever else a fleet needs to stay in
    /// order. Few, and most senders wait for the reply before they send the next one.
    Control,
    /// Commands that callers submit, and ends of items.
    Commit,
    /// Reads of jobs, files and routes.
    Read,
}

impl CallClass {
    /// Number of classes.
    pub const COUNT: usize = 3;
    /// All classes, the first one to be served first.
    pub const ALL: [Self; Self::COUNT] = [Self::Control, Self::Commit, Self::Read];

    /// Class of a call.
    pub fn of(call: &Call) -> Self {
        if call.is_for_operator {
            return Self::Control;
        }
        match &call.call {
            Some(call::Call::LedgerCommand(command)) => Self::of_ledger_command(command),
            Some(call::Call::Command(command)) => Self::of_state_command(command),
            Some(call::Call::ReturnItem(_)) => Self::Commit,
            Some(call::Call::LedgerQuery(_) | call::Call::Query(_)) => Self::Read,
            _ => Self::Control,
        }
    }

    /// Name of the class in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Control => "control",
            Self::Commit => "commit",
            Self::Read => "read",
        }
    }

    fn of_ledger_command(command: &ledger::Command) -> Self {
        match command.command {
            Some(
                ledger::command::Command::InstallRoutes(_)
                | ledger::command::Command::RetireHost(_),
            ) => Self::Control,
            _ => Self::Commit,
        }
    }

    fn of_state_command(command: &state::Command) -> Self {
        match command.command {
            Some(state::command::Command::ChangeConfiguration(_)) => Self::Control,
            _ => Self::Commit,
        }
    }
}
