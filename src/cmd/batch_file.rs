use std::borrow::Cow;
use std::collections::HashSet;
use std::fs;
use std::path::Path;

use serde::de::IgnoredAny;
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::cmd::Failure;

/// Hexadecimal digits of the content's digest in a derived key.
const KEY_DIGITS: usize = 40;
const SHOWN_ERRORS: usize = 10;

/// A file of batch items, checked.
pub(super) struct BatchFile {
    pub(super) name: String,
    pub(super) bytes: Vec<u8>,
    pub(super) items: usize,
}

/// The parts of a line that must be there.
#[derive(Deserialize)]
struct Line<'a> {
    #[serde(borrow)]
    custom_id: Cow<'a, str>,
    #[serde(rename = "body")]
    _body: IgnoredAny,
}

impl BatchFile {
    /// Reads a file and checks each line, so that a mistake shows before anything is sent.
    pub(super) fn read(path: &Path) -> Result<Self, Failure> {
        let bytes = fs::read(path).map_err(|error| {
            let message = format!("cannot read {}: {error}", path.display());
            Failure::usage(message, "name a file of JSON lines")
        })?;
        let items = check(path, &bytes)?;
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        Ok(Self { name, bytes, items })
    }

    /// Key that is the same for the same content.
    pub(super) fn content_key(&self) -> String {
        let digest = Sha256::digest(&self.bytes);
        format!("content-{}", hex(&digest, KEY_DIGITS))
    }
}

/// The first digits of bytes in hexadecimal.
pub(super) fn hex(bytes: &[u8], digits: usize) -> String {
    let mut text: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    text.truncate(digits);
    text
}

fn check(path: &Path, bytes: &[u8]) -> Result<usize, Failure> {
    let mut errors = Vec::new();
    let mut ids = HashSet::new();
    for (index, line) in bytes.split(|byte| *byte == b'\n').enumerate() {
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        match serde_json::from_slice::<Line>(line) {
            Ok(line) if ids.contains(&line.custom_id) => {
                errors.push(format!("line {}: custom_id {} twice", index + 1, line.custom_id));
            }
            Ok(line) => {
                ids.insert(line.custom_id);
            }
            Err(error) => errors.push(format!("line {}: {error}", index + 1)),
        }
    }
    let count = errors.len();
    if count == 0 && ids.is_empty() {
        errors.push("the file holds no item".to_owned());
    }
    if errors.is_empty() {
        return Ok(ids.len());
    }
    errors.truncate(SHOWN_ERRORS);
    let message =
        format!("{} has {} error(s):\n{}", path.display(), count.max(1), errors.join("\n"));
    Err(Failure::usage(message, "correct the lines; nothing was sent"))
}
