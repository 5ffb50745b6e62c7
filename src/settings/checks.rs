use std::collections::HashSet;
use std::fs;
use std::net::SocketAddr;

use serde_json::json;

use crate::settings::{NumberRule, SettingsError, SettingsErrors};

const NAME_BYTES: usize = 64;
const SECRET_BYTES: std::ops::RangeInclusive<usize> = 16..=4096;

/// Collects the broken rules of a settings document.
#[derive(Default)]
pub(super) struct Checks {
    errors: Vec<SettingsError>,
}

impl Checks {
    pub(super) fn finish<T>(self, checked: T) -> Result<T, SettingsErrors> {
        if self.errors.is_empty() {
            return Ok(checked);
        }
        Err(SettingsErrors(self.errors))
    }

    pub(super) fn fail(&mut self, path: &str, value: impl Into<serde_json::Value>, rule: &str) {
        let value = match value.into() {
            serde_json::Value::Null => String::new(),
            value => value.to_string(),
        };
        self.errors.push(SettingsError { path: path.to_owned(), value, rule: rule.to_owned() });
    }

    pub(super) fn number(&mut self, rule: &NumberRule, value: Option<u64>) -> u64 {
        let value = value.unwrap_or(rule.default);
        if value < rule.least || value > rule.most {
            let text = format!("must be between {} and {}", rule.least, rule.most);
            self.fail(rule.path, value, &text);
        }
        value
    }

    pub(super) fn name(&mut self, path: &str, value: String) -> String {
        let is_known = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        if value.is_empty() || value.len() > NAME_BYTES || !value.bytes().all(is_known) {
            self.fail(path, value.as_str(), "must be 1 to 64 letters, digits, '-', '_' or '.'");
        }
        value
    }

    /// An address that other processes are told, so it must name one machine.
    pub(super) fn own_address(&mut self, path: &str, value: &str) -> SocketAddr {
        let address = self.address(path, value);
        if address.is_some_and(|address| address.ip().is_unspecified()) {
            self.fail(path, value, "must name one IP address, because others are told it");
        }
        address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub(super) fn address(&mut self, path: &str, value: &str) -> Option<SocketAddr> {
        let address = value.parse().ok();
        if address.is_none() {
            self.fail(path, value, "must be an IP address and port, such as 10.1.0.4:7400");
        }
        address
    }

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

    /// Contents of a file that holds one secret; empty when no file is named.
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
        if !SECRET_BYTES.contains(&text.len()) || !is_visible {
            self.fail(path, file, "must hold one line of 16 to 4096 visible ASCII characters");
        }
        text
    }
}
