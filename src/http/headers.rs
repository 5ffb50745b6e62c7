use crate::http::{is_field_value, is_token, HttpError};

/// Header fields in order of arrival; names compare case-insensitively.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(String, String)>,
}

/// Hop-by-hop fields, which apply to a single connection.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Headers {
    /// Adds a field.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<String>) {
        self.fields.push((name.into(), value.into()));
    }

    /// Value of the first field with this name.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = self.fields.iter().find(|field| field.0.eq_ignore_ascii_case(name));
        named.map(|field| field.1.as_str())
    }

    /// Values of all fields with this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let named = self.fields.iter().filter(move |field| field.0.eq_ignore_ascii_case(name));
        named.map(|field| field.1.as_str())
    }

    /// Replaces all fields with this name by a single field.
    pub fn set(&mut self, name: &str, value: impl Into<String>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all fields with this name.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|field| !field.0.eq_ignore_ascii_case(name));
    }

    /// Names and values of all fields, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.fields.iter().map(|field| (field.0.as_str(), field.1.as_str()))
    }

    /// The fields without hop-by-hop fields and fields listed in `Connection`.
    pub fn end_to_end(&self) -> Self {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        let is_hop = |name: &str| {
            HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
                || named.iter().any(|hop| name.eq_ignore_ascii_case(hop))
        };
        let fields = self.fields.iter().filter(|field| !is_hop(&field.0)).cloned();
        Self { fields: fields.collect() }
    }

    /// Whether a comma-separated list field contains this token, in any case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let tokens = self.all(name).flat_map(|value| value.split(','));
        tokens.map(str::trim).any(|candidate| candidate.eq_ignore_ascii_case(token))
    }

    /// Appends the encoded fields to `target`.
    ///
    /// # Errors
    /// [`HttpError::Malformed`] if a field could end the head early; `target` is then incomplete.
    pub fn write_to(&self, target: &mut Vec<u8>) -> Result<(), HttpError> {
        for (name, value) in &self.fields {
            if !is_token(name) || !is_field_value(value) {
                return Err(HttpError::Malformed("a header field"));
            }
            target.extend_from_slice(name.as_bytes());
            target.extend_from_slice(b": ");
            target.extend_from_slice(value.as_bytes());
            target.extend_from_slice(b"\r\n");
        }
        Ok(())
    }
}
