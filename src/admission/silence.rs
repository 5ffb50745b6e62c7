/// What the silence of an upstream says of it, by what the others of its service do at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// Most others answer, or none is asked: the upstream has stalled.
    OfOne,
    /// Most others that were asked are silent as well: the cause is common, and another one would not answer
    /// sooner.
    OfMost {
        /// Whether any other is not known to be silent.
        has_other: bool,
    },
}

impl Silence {
    /// Judges a silent upstream of a service of which `silent` others are silent, `answering` others answer, and
    /// `unknown` others have nothing to answer.
    pub fn judge(silent: usize, answering: usize, unknown: usize) -> Self {
        match silent > 0 && silent + 1 > answering {
            true => Self::OfMost { has_other: answering + unknown > 0 },
            false => Self::OfOne,
        }
    }
}
