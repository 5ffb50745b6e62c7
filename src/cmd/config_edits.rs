use std::fs;
use std::path::Path;

use serde::Deserialize;
use serde_json::{json, Value};
use sha2::{Digest, Sha256};

use crate::cmd::batch_file::hex;
use crate::cmd::Failure;
use crate::schema::config::{edit, Configuration, Edit};

const COMMAND_ID_DIGITS: usize = 32;

/// Edits of the configuration as a file holds them.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ConfigEdits {
    pub(super) base_version: Option<u64>,
    pub(super) edits: Vec<Edit>,
}

impl ConfigEdits {
    pub(super) fn read(path: &Path) -> Result<Self, Failure> {
        let text = fs::read_to_string(path).map_err(|error| {
            let message = format!("cannot read {}: {error}", path.display());
            Failure::usage(message, "name a file of edits; see 'damaskhoist config --help'")
        })?;
        let edits = if text.trim_start().starts_with('[') {
            parse(&text).map(|edits| Self { base_version: None, edits })
        } else {
            parse(&text)
        };
        let edits = edits.map_err(|error| {
            let message = format!("{}: {error}", path.display());
            Failure::usage(message, "correct the place named; schema/config.proto has the fields")
        })?;
        if edits.edits.iter().any(|edit| edit.edit.is_none()) || edits.edits.is_empty() {
            let advice =
                "use put_service, delete_service, put_customer, delete_customer, put_policy";
            return Err(Failure::usage(
                format!("{}: no edit or an empty one", path.display()),
                advice,
            ));
        }
        Ok(edits)
    }

    /// Command id that is the same for the same edits on the same version.
    pub(super) fn command_id(&self, base_version: u64) -> String {
        let mut digest = Sha256::new();
        digest.update(base_version.to_le_bytes());
        digest.update(json!(self.edits).to_string());
        format!("config-{}", hex(&digest.finalize(), COMMAND_ID_DIGITS))
    }

    /// Says for each edit how it stands to the configuration in force.
    pub(super) fn compare(&self, current: &Configuration) -> Vec<String> {
        let edits = self.edits.iter().filter_map(|edit| edit.edit.as_ref());
        edits.map(|edit| compare_edit(edit, current)).collect()
    }
}

fn parse<'de, T: Deserialize<'de>>(text: &'de str) -> Result<T, String> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| format!("{}: {}", error.path(), error.inner()))?;
    deserializer.end().map_err(|error| error.to_string())?;
    Ok(value)
}

fn compare_edit(edit: &edit::Edit, current: &Configuration) -> String {
    let services = &current.services;
    let customers = &current.customers;
    match edit {
        edit::Edit::PutService(new) => {
            let old = services.iter().find(|old| old.name == new.name);
            format!("service {}: {}", new.name, difference(&json!(new), old.map(|old| json!(old))))
        }
        edit::Edit::PutCustomer(new) => {
            let old = customers.iter().find(|old| old.name == new.name);
            format!("customer {}: {}", new.name, difference(&json!(new), old.map(|old| json!(old))))
        }
        edit::Edit::PutPolicy(new) => {
            let old = current.policy.as_ref().map(|old| json!(old));
            format!("policy: {}", difference(&json!(new), old))
        }
        edit::Edit::DeleteService(name) => {
            let is_there = services.iter().any(|service| service.name == *name);
            format!("service {name}: {}", if is_there { "still there" } else { "already gone" })
        }
        edit::Edit::DeleteCustomer(name) => {
            let is_there = customers.iter().any(|customer| customer.name == *name);
            format!("customer {name}: {}", if is_there { "still there" } else { "already gone" })
        }
    }
}

fn difference(new: &Value, old: Option<Value>) -> String {
    let Some(old) = old else { return "not there yet".to_owned() };
    if *new == old {
        return "already as your edit wants it".to_owned();
    }
    let mut changes = Vec::new();
    let names = new.as_object().into_iter().chain(old.as_object()).flat_map(|fields| fields.keys());
    for name in names {
        let (wanted, in_force) = (&new[name], &old[name]);
        let change = format!("{name} is {in_force}, your edit has {wanted}");
        if wanted != in_force && !changes.contains(&change) {
            changes.push(change);
        }
    }
    changes.join("; ")
}
