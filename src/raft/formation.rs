use crate::raft::{Identity, Standing};

/// Decides whether a replica with a new identity file may take part in a new group.
///
/// A group is formed once the initial replicas have exchanged the nonces of their identity files.
/// The nonces are stored. A replica that lost its disk therefore has a nonce that the others don't
/// know, and does not vote even if it is started in the same way as the first time.
#[derive(Clone, Debug)]
pub struct Formation {
    /// Id and nonce of this replica.
    own: (u64, u64),
    /// Ids of the initial replicas, with the nonces known so far.
    founders: Vec<(u64, Option<u64>)>,
    state: FormationState,
}

/// State of a [`Formation`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormationState {
    /// The nonces of some initial replicas are not known yet.
    Waiting,
    /// The group is formed of replicas with these ids and nonces.
    Formed(Vec<(u64, u64)>),
    /// The group was formed with a different nonce of this replica.
    Refused,
}

impl Formation {
    /// Starts the formation of a group with these initial replicas.
    pub fn new(identity: &Identity, initial: impl IntoIterator<Item = u64>) -> Self {
        let own = (identity.replica_id, identity.nonce);
        let founders = initial.into_iter().map(|id| (id, (id == own.0).then_some(own.1)));
        let mut formation =
            Self { own, founders: founders.collect(), state: FormationState::Waiting };
        formation.check();
        formation
    }

    /// The state of the formation.
    pub fn state(&self) -> &FormationState {
        &self.state
    }

    /// Ids of the other initial replicas, which must receive the nonce of this one.
    pub fn peers(&self) -> impl Iterator<Item = u64> + '_ {
        self.founders.iter().map(|founder| founder.0).filter(|&id| id != self.own.0)
    }

    /// Records the nonce of a replica that is not part of a formed group yet.
    pub fn record_nonce(&mut self, from: u64, nonce: u64) {
        let Some(founder) = self.founders.iter_mut().find(|founder| founder.0 == from) else {
            return;
        };
        founder.1 = Some(nonce);
        self.check();
    }

    /// Records the ids and nonces of a formed group, as received from one of its members.
    pub fn record_formed_group(&mut self, founders: &[(u64, u64)]) {
        if self.state != FormationState::Waiting {
            return;
        }
        let is_founder = founders.contains(&self.own);
        self.state = match is_founder {
            true => FormationState::Formed(founders.to_vec()),
            false => FormationState::Refused,
        };
    }

    /// Completes the formation once all nonces are known.
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
    /// The identity after the group was formed with these ids and nonces.
    pub fn formed(&self, founders: &[(u64, u64)]) -> Self {
        Self { standing: Standing::Member, founders: founders.to_vec(), ..self.clone() }
    }
}
