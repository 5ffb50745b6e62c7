use std::collections::HashSet;
use std::fs;
use std::net::SocketAddr;

use serde_json::json;

use crate::settings::{NumberRule, SettingsError, SettingsErrors};

/// Maximum length of a host, zone or region name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Accepted length of a secret, in bytes.
const SECRET_LENGTH_BYTES: std::ops::RangeInclusive<usize> = 16..=4096;

/// Validates the fields of a settings document and collects every error, so that all of them are
/// reported at once.
#[derive(Default)]
pub(super) struct Checks {
    errors: Vec<SettingsError>,
}

impl Checks {
    /// Returns `checked` if no check failed, otherwise all collected errors.
    pub(super) fn finish<T>(self, checked: T) -> Result<T, SettingsErrors> {
        if self.errors.is_empty() {
            return Ok(checked);
        }
        Err(SettingsErrors(self.errors))
    }

    /// Records that the field at `path` violates `rule`. A `null` value is left out of the error.
    pub(super) fn fail(&mut self, path: &str, value: impl Into<serde_json::Value>, rule: &str) {
        let value = match value.into() {
            serde_json::Value::Null => String::new(),
            value => value.to_string(),
        };
        self.errors.push(SettingsError { path: path.to_owned(), value, rule: rule.to_owned() });
    }

    /// Applies the default of `rule` if `value` is missing and checks the bounds.
    pub(super) fn number(&mut self, rule: &NumberRule, value: Option<u64>) -> u64 {
        let value = value.unwrap_or(rule.default);
        if value < rule.min || value > rule.max {
            let text = format!("must be between {} and {}", rule.min, rule.max);
            self.fail(rule.path, value, &text);
        }
        value
    }

    /// Checks that `value` is a valid name and returns it.
    pub(super) fn name(&mut self, path: &str, value: String) -> String {
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if value.is_empty() || value.len() > MAX_NAME_BYTES || !value.bytes().all(is_allowed) {
            self.fail(path, value.as_str(), "must be 1 to 64 letters, digits, '-', '_' or '.'");
        }
        value
    }

    /// Parses an address that is advertised to other processes. It must not be an unspecified
    /// address such as `0.0.0.0`, because that does not identify a host.
    pub(super) fn advertised_address(&mut self, path: &str, value: &str) -> SocketAddr {
        let address = self.address(path, value);
        if address.is_some_and(|address| address.ip().is_unspecified()) {
            self.fail(path, value, "must be a specific IP address, because others connect to it");
        }
        address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Parses an IP address and port; `None` if that fails.
    pub(super) fn address(&mut self, path: &str, value: &str) -> Option<SocketAddr> {
        let address = value.parse().ok();
        if address.is_none() {
            self.fail(path, value, "must be an IP address and port, such as 10.1.0.4:7400");
        }
        address
    }

    /// Checks that each address is valid and listed only once, and returns the list unchanged.
    pub(super) fn peer_addresses(&mut self, path: &str, values: Vec<String>) -> Vec<String> {
        let mut seen = HashSet::new();
        for (index, value) in values.iter().enumerate() {
            let path = format!("{path}[{index}]");
            self.address(&path, value);
            if !seen.insert(value.as_str()) {
                self.fail(&path, value.as_str(), "must not be listed twice");
            }
        }
        values
    }

    /// Reads a secret from a file and trims surrounding whitespace. Returns an empty string if
    /// `file` is empty.
    pub(super) fn secret(&mut self, path: &str, file: &str) -> String {
        if file.is_empty() {
            return String::new();
        }
        let text = match fs::read_to_string(file) {
            Ok(text) => text.trim().to_owned(),
            Err(error) => {
                self.fail(path, json!(file), &format!("must be a readable file: {error}"));
                return String::new();
            }
        };
        let is_visible = text.bytes().all(|byte| byte.is_ascii_graphic());
        if !SECRET_LENGTH_BYTES.contains(&text.len()) || !is_visible {
            self.fail(path, file, "must hold one line of 16 to 4096 visible ASCII characters");
        }
        text
    }
}
