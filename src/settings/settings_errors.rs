use std::fmt;

use crate::settings::SettingsError;

/// All errors found in a settings document; never empty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors(pub Vec<SettingsError>);

impl SettingsErrors {
    pub(super) fn single(path: &str, value: String, rule: String) -> Self {
        Self(vec![SettingsError { path: path.to_owned(), value, rule }])
    }
}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "invalid settings: {} error(s)", self.0.len())?;
        for error in &self.0 {
            write!(formatter, "\n  {error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsErrors {}

impl miette::Diagnostic for SettingsErrors {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new("docs/settings.md lists every field with its unit, default and bounds"))
    }
}
