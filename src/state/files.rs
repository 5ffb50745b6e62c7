use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::state::bodies::Bodies;
use crate::state::command::FileChunk;
use crate::state::file::File;
use crate::state::outcome::Outcome;
use crate::state::refusal::Refusal;

/// Uploaded files by their id.
#[derive(Debug, Default)]
pub(crate) struct Files {
    by_id: BTreeMap<Arc<str>, Arc<File>>,
    by_customer: BTreeSet<(Arc<str>, Arc<str>)>,
    /// Ends of the files that no job reads.
    unused: BTreeSet<(u64, Arc<str>)>,
}

impl Files {
    /// Appends lines at the stated offset, which guards against a lost or repeated chunk.
    pub(crate) fn append(
        &mut self,
        chunk: &FileChunk,
        expires_unix_ms: u64,
        now: u64,
        bodies: &Bodies,
    ) -> Result<Outcome, Refusal> {
        let file_id = &chunk.file_id;
        if !self.by_id.contains_key(file_id.as_str()) {
            if chunk.offset_bytes != 0 {
                return Err(missing(file_id));
            }
            self.insert(file_id, new_file(chunk, expires_unix_ms, now));
        }
        let (id, file) = self.owned(&chunk.customer, file_id)?;
        if file.complete {
            return Err(Refusal::already_finished(format!("file {file_id} is complete")));
        }
        if file.size_bytes != chunk.offset_bytes {
            return Err(Refusal::invalid(format!(
                "the chunk starts at byte {}, but file {file_id} has {} bytes",
                chunk.offset_bytes, file.size_bytes
            )));
        }
        let file = self.by_id.get_mut(&id).map(Arc::make_mut).expect("the file was just found");
        file.append(&chunk.lines, bodies);
        file.complete = chunk.last;
        self.unused.remove(&(file.expires_unix_ms, id.clone()));
        file.expires_unix_ms = expires_unix_ms;
        let outcome = Outcome::FileAppended { size_bytes: file.size_bytes, lines: file.lines };
        self.unused.insert((expires_unix_ms, id));
        Ok(outcome)
    }

    /// Hides a file; its lines stay while a job reads them.
    pub(crate) fn delete(
        &mut self,
        customer: &str,
        file_id: &str,
        bodies: &Bodies,
    ) -> Result<Outcome, Refusal> {
        let (id, file) = self.owned(customer, file_id)?;
        if file.jobs == 0 {
            self.remove(&id, bodies);
            return Ok(Outcome::Done);
        }
        self.by_customer.remove(&(file.customer.clone(), id.clone()));
        if let Some(file) = self.by_id.get_mut(&id).map(Arc::make_mut) {
            file.deleted = true;
        }
        Ok(Outcome::Done)
    }

    /// Counts a job that reads the file, which must be complete.
    pub(crate) fn take(&mut self, customer: &str, file_id: &str) -> Result<Arc<File>, Refusal> {
        let (id, file) = self.owned(customer, file_id)?;
        if !file.complete {
            return Err(Refusal::invalid(format!("file {file_id} is not complete")));
        }
        self.unused.remove(&(file.expires_unix_ms, id.clone()));
        let file = self.by_id.get_mut(&id).expect("the file was just found");
        Arc::make_mut(file).jobs += 1;
        Ok(file.clone())
    }

    /// Gives up a job's use of the file.
    pub(crate) fn give_back(&mut self, file_id: &str, expires_unix_ms: u64, bodies: &Bodies) {
        let Some((id, _)) = self.by_id.get_key_value(file_id) else {
            return;
        };
        let id = id.clone();
        let Some(file) = self.by_id.get_mut(&id).map(Arc::make_mut) else {
            return;
        };
        file.jobs -= 1;
        if file.jobs > 0 {
            return;
        }
        if file.deleted {
            self.remove(&id, bodies);
            return;
        }
        file.expires_unix_ms = file.expires_unix_ms.max(expires_unix_ms);
        self.unused.insert((file.expires_unix_ms, id));
    }

    /// Removes up to `limit` files that no job reads and whose time has ended.
    pub(crate) fn expire(&mut self, now: u64, limit: usize, bodies: &Bodies) {
        for _ in 0..limit {
            match self.unused.first() {
                Some((expires, id)) if *expires <= now => {
                    let id = id.clone();
                    self.remove(&id, bodies);
                }
                _ => return,
            }
        }
    }

    /// A file as jobs see it, deleted or not.
    pub(crate) fn get(&self, file_id: &str) -> Option<&Arc<File>> {
        self.by_id.get(file_id)
    }

    /// A file as a customer sees it; an operator names no customer.
    pub(crate) fn visible(&self, customer: &str, file_id: &str) -> Result<&File, Refusal> {
        match self.by_id.get(file_id) {
            Some(file) if !file.deleted && (customer.is_empty() || *file.customer == *customer) => {
                Ok(file)
            }
            _ => Err(missing(file_id)),
        }
    }

    /// Files of a customer, or of all for an operator, in the order of their ids.
    pub(crate) fn list<'a>(
        &'a self,
        customer: &'a str,
        after: &'a str,
    ) -> Box<dyn Iterator<Item = (&'a str, &'a File)> + 'a> {
        use std::ops::Bound::{Excluded, Unbounded};
        if customer.is_empty() {
            let range = self.by_id.range::<str, _>((Excluded(after), Unbounded));
            return Box::new(
                range.filter(|(_, file)| !file.deleted).map(|(id, file)| (&**id, &**file)),
            );
        }
        let start: (Arc<str>, Arc<str>) = (customer.into(), after.into());
        Box::new(
            self.by_customer
                .range((Excluded(start), Unbounded))
                .take_while(move |(owner, _)| **owner == *customer)
                .filter_map(|(_, id)| Some((&**id, &**self.by_id.get(id)?))),
        )
    }

    pub(crate) fn insert(&mut self, file_id: &str, file: File) {
        let id: Arc<str> = file_id.into();
        if !file.deleted {
            self.by_customer.insert((file.customer.clone(), id.clone()));
        }
        self.unused.insert((file.expires_unix_ms, id.clone()));
        self.by_id.insert(id, Arc::new(file));
    }

    /// Counts a job again after a restore.
    pub(crate) fn retake(&mut self, file_id: &str) {
        let Some((id, file)) = self.by_id.get_key_value(file_id) else {
            return;
        };
        let entry = (file.expires_unix_ms, id.clone());
        self.unused.remove(&entry);
        if let Some(file) = self.by_id.get_mut(file_id).map(Arc::make_mut) {
            file.jobs += 1;
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<File>> {
        self.by_id.values()
    }

    /// All files with their ids, shared until they change.
    pub(crate) fn freeze(&self) -> Vec<(Arc<str>, Arc<File>)> {
        self.by_id.iter().map(|(id, file)| (id.clone(), file.clone())).collect()
    }

    fn owned(&self, customer: &str, file_id: &str) -> Result<(Arc<str>, &File), Refusal> {
        match self.by_id.get_key_value(file_id) {
            Some((id, file)) if !file.deleted && *file.customer == *customer => {
                Ok((id.clone(), file))
            }
            _ => Err(missing(file_id)),
        }
    }

    fn remove(&mut self, id: &Arc<str>, bodies: &Bodies) {
        let Some(file) = self.by_id.remove(id) else {
            return;
        };
        self.unused.remove(&(file.expires_unix_ms, id.clone()));
        self.by_customer.remove(&(file.customer.clone(), id.clone()));
        file.release(bodies);
    }
}

fn new_file(chunk: &FileChunk, expires_unix_ms: u64, now: u64) -> File {
    File {
        customer: chunk.customer.as_str().into(),
        name: chunk.name.clone(),
        purpose: chunk.purpose.clone(),
        size_bytes: 0,
        lines: 0,
        complete: false,
        deleted: false,
        created_at_unix_ms: now,
        expires_unix_ms,
        jobs: 0,
        chunks: Vec::new(),
    }
}

fn missing(file_id: &str) -> Refusal {
    Refusal::not_found(format!("file {file_id} does not exist"))
}
