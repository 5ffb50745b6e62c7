use damaskhoist::schema::ledger::FinishedItem;
use damaskhoist::schema::peer::ReturnItem;

/// What an entry host reports at the end of a run.
#[derive(Clone, Debug)]
pub enum EndReport {
    Finished(FinishedItem),
    Returned(ReturnItem),
}
