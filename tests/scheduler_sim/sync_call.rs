use damaskhoist::schema::peer::EntrySync;

/// A sync call of an entry host.
#[derive(Clone, Debug)]
pub struct SyncCall {
    pub host: usize,
    pub incarnation: u64,
    pub control: usize,
    pub number: u64,
    pub sync: EntrySync,
}
