use super::end_report::EndReport;

/// A call by which an entry host reports the end of a run.
#[derive(Clone, Debug)]
pub struct EndCall {
    pub host: usize,
    pub incarnation: u64,
    pub assignment_id: u64,
    pub number: u64,
    pub control: usize,
    pub end: EndReport,
}
