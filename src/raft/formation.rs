use crate::raft::{Identity, Standing};

/// Decides whether a replica with a new identity file may take part in a new group.
///
/// A group forms once every initial replica has told the others the nonce in its identity file.
/// The nonces stay on record. So a replica whose disk was lost has a nonce that the others don't
/// know, and does not vote, even if it is started in the same way as the first time.
#[derive(Clone, Debug)]
pub struct Formation {
    own: (u64, u64),
    /// Initial replicas, with the nonces known so far.
    founders: Vec<(u64, Option<u64>)>,
    state: FormationState,
}

/// How far a [`Formation`] is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormationState {
    /// Not all initial replicas were heard of.
    Waiting,
    /// All initial replicas are there, with these nonces.
    Formed(Vec<(u64, u64)>),
    /// The group was formed with another identity of this replica.
    Refused,
}

impl Formation {
    /// Formation of a group with these initial replicas.
    pub fn new(identity: &Identity, initial: impl IntoIterator<Item = u64>) -> Self {
        let own = (identity.replica_id, identity.nonce);
        let founders = initial.into_iter().map(|id| (id, (id == own.0).then_some(own.1)));
        let mut formation =
            Self { own, founders: founders.collect(), state: FormationState::Waiting };
        formation.check();
        formation
    }

    /// How far it is.
    pub fn state(&self) -> &FormationState {
        &self.state
    }

    /// Replicas to tell the own nonce.
    pub fn peers(&self) -> impl Iterator<Item = u64> + '_ {
        self.founders.iter().map(|founder| founder.0).filter(|&id| id != self.own.0)
    }

    /// A replica that is not part of a formed group told its nonce.
    pub fn hear_new(&mut self, from: u64, nonce: u64) {
        let Some(founder) = self.founders.iter_mut().find(|founder| founder.0 == from) else {
            return;
        };
        founder.1 = Some(nonce);
        self.check();
    }

    /// A member told with which nonces the group was formed.
    pub fn hear_formed(&mut self, founders: &[(u64, u64)]) {
        if self.state != FormationState::Waiting {
            return;
        }
        let is_known = founders.contains(&self.own);
        self.state = match is_known {
            true => FormationState::Formed(founders.to_vec()),
            false => FormationState::Refused,
        };
    }

    fn check(&mut self) {
        if self.state != FormationState::Waiting {
            return;
        }
        let known = self.founders.iter().map(|&(id, nonce)| Some((id, nonce?)));
        if let Some(founders) = known.collect() {
            self.state = FormationState::Formed(founders);
        }
    }
}

impl Identity {
    /// The identity after the group was formed.
    pub fn formed(&self, founders: &[(u64, u64)]) -> Self {
        Self { standing: Standing::Member, founders: founders.to_vec(), ..self.clone() }
    }
}
