use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::state::bodies::Bodies;
use crate::state::command::FileChunk;
use crate::state::file::File;
use crate::state::outcome::Outcome;
use crate::state::refusal::Refusal;

/// Uploaded files by id.
#[derive(Debug, Default)]
pub(crate) struct Files {
    by_id: BTreeMap<Arc<str>, Arc<File>>,
    by_customer: BTreeSet<(Arc<str>, Arc<str>)>,
    /// Files that no job reads, by expiration time.
    unreferenced: BTreeSet<(u64, Arc<str>)>,
}

impl Files {
    /// Appends lines to a file, which is created by its first chunk. The chunk's offset must equal
    /// the size of the file, which detects lost and repeated chunks.
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
                return Err(not_found(file_id));
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
        self.unreferenced.remove(&(file.expires_unix_ms, id.clone()));
        file.expires_unix_ms = expires_unix_ms;
        let outcome = Outcome::FileAppended { size_bytes: file.size_bytes, lines: file.lines };
        self.unreferenced.insert((expires_unix_ms, id));
        Ok(outcome)
    }

    /// Deletes a file. While jobs read it, it is only hidden and its lines are kept.
    pub(crate) fn delete(
        &mut self,
        customer: &str,
        file_id: &str,
        bodies: &Bodies,
    ) -> Result<Outcome, Refusal> {
        let (id, file) = self.owned(customer, file_id)?;
        if file.reader_count == 0 {
            self.remove(&id, bodies);
            return Ok(Outcome::Done);
        }
        self.by_customer.remove(&(file.customer.clone(), id.clone()));
        if let Some(file) = self.by_id.get_mut(&id).map(Arc::make_mut) {
            file.deleted = true;
        }
        Ok(Outcome::Done)
    }

    /// Registers a job that reads the file, which must be complete.
    pub(crate) fn acquire(&mut self, customer: &str, file_id: &str) -> Result<Arc<File>, Refusal> {
        let (id, file) = self.owned(customer, file_id)?;
        if !file.complete {
            return Err(Refusal::invalid(format!("file {file_id} is not complete")));
        }
        self.unreferenced.remove(&(file.expires_unix_ms, id.clone()));
        let file = self.by_id.get_mut(&id).expect("the file was just found");
        Arc::make_mut(file).reader_count += 1;
        Ok(file.clone())
    }

    /// Ends a job's use of the file. After the last job, the file is removed if it was deleted,
    /// otherwise it expires at `expires_unix_ms` or later.
    pub(crate) fn release(&mut self, file_id: &str, expires_unix_ms: u64, bodies: &Bodies) {
        let Some((id, _)) = self.by_id.get_key_value(file_id) else {
            return;
        };
        let id = id.clone();
        let Some(file) = self.by_id.get_mut(&id).map(Arc::make_mut) else {
            return;
        };
        file.reader_count -= 1;
        if file.reader_count > 0 {
            return;
        }
        if file.deleted {
            self.remove(&id, bodies);
            return;
        }
        file.expires_unix_ms = file.expires_unix_ms.max(expires_unix_ms);
        self.unreferenced.insert((file.expires_unix_ms, id));
    }

    /// Removes up to `limit` expired files that no job reads.
    pub(crate) fn expire(&mut self, now: u64, limit: usize, bodies: &Bodies) {
        for _ in 0..limit {
            match self.unreferenced.first() {
                Some((expires, id)) if *expires <= now => {
                    let id = id.clone();
                    self.remove(&id, bodies);
                }
                _ => return,
            }
        }
    }

    /// A file for the jobs that read it, deleted or not.
    pub(crate) fn get(&self, file_id: &str) -> Option<&Arc<File>> {
        self.by_id.get(file_id)
    }

    /// A file that is visible to the customer. An operator passes an empty customer and sees the
    /// files of all.
    pub(crate) fn visible(&self, customer: &str, file_id: &str) -> Result<&File, Refusal> {
        match self.by_id.get(file_id) {
            Some(file) if !file.deleted && (customer.is_empty() || *file.customer == *customer) => {
                Ok(file)
            }
            _ => Err(not_found(file_id)),
        }
    }

    /// Files of a customer in the order of their ids, starting after the id `after`. An empty
    /// customer lists the files of all, for an operator.
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
        self.unreferenced.insert((file.expires_unix_ms, id.clone()));
        self.by_id.insert(id, Arc::new(file));
    }

    /// Registers a job that reads the file, after a restore.
    pub(crate) fn restore_reader(&mut self, file_id: &str) {
        let Some((id, file)) = self.by_id.get_key_value(file_id) else {
            return;
        };
        let entry = (file.expires_unix_ms, id.clone());
        self.unreferenced.remove(&entry);
        if let Some(file) = self.by_id.get_mut(file_id).map(Arc::make_mut) {
            file.reader_count += 1;
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Arc<File>> {
        self.by_id.values()
    }

    /// A copy-on-write copy of all files with their ids.
    pub(crate) fn freeze(&self) -> Vec<(Arc<str>, Arc<File>)> {
        self.by_id.iter().map(|(id, file)| (id.clone(), file.clone())).collect()
    }

    fn owned(&self, customer: &str, file_id: &str) -> Result<(Arc<str>, &File), Refusal> {
        match self.by_id.get_key_value(file_id) {
            Some((id, file)) if !file.deleted && *file.customer == *customer => {
                Ok((id.clone(), file))
            }
            _ => Err(not_found(file_id)),
        }
    }

    fn remove(&mut self, id: &Arc<str>, bodies: &Bodies) {
        let Some(file) = self.by_id.remove(id) else {
            return;
        };
        self.unreferenced.remove(&(file.expires_unix_ms, id.clone()));
        self.by_customer.remove(&(file.customer.clone(), id.clone()));
        file.release_bodies(bodies);
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
        reader_count: 0,
        chunks: Vec::new(),
    }
}

fn not_found(file_id: &str) -> Refusal {
    Refusal::not_found(format!("file {file_id} does not exist"))
}
