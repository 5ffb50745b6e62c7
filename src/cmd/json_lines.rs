use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use serde::de::DeserializeOwned;

use crate::cmd::Failure;

/// Reads the lines of a file that are JSON of this type and that `keep` wants.
pub(super) fn read_lines<T: DeserializeOwned>(
    path: &Path,
    keep: impl Fn(&T) -> bool,
) -> Result<Vec<T>, Failure> {
    let file = File::open(path).map_err(|error| broken(path, &error.to_string()))?;
    let mut kept = Vec::new();
    for line in BufReader::new(file).lines() {
        let line = line.map_err(|error| broken(path, &error.to_string()))?;
        // The last line may be half written while the host runs.
        let Ok(value) = serde_json::from_str::<T>(&line) else { continue };
        if keep(&value) {
            kept.push(value);
        }
    }
    Ok(kept)
}

fn broken(path: &Path, reason: &str) -> Failure {
    let message = format!("cannot read {}: {reason}", path.display());
    Failure::failed(message, "name a file that this user may read")
}
