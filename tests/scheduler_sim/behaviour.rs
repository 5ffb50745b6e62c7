/// What an upstream does to batch items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Works,
    Refuses,
    Cuts,
    Stalls,
    Fails,
}
