use std::fmt;

/// A settings field that violates a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// JSON path of the field; `.` stands for the whole document.
    pub path: String,
    /// Value of the field as JSON; empty if there is no value to report.
    pub value: String,
    /// The rule that the value violates.
    pub rule: String,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.value.is_empty() {
            return write!(formatter, "{}: {}", self.path, self.rule);
        }
        write!(formatter, "{} = {}: {}", self.path, self.value, self.rule)
    }
}

impl std::error::Error for SettingsError {}
