use std::collections::BTreeMap;
use std::sync::Arc;

use crate::state::claim::Claim;

/// Claims of a page: what the first change after a snapshot copies.
const PAGE_CLAIMS: u64 = 256;

/// Claims by their number, in pages that are shared with copies made for snapshots. Numbers grow,
/// and old claims end first, so pages fill and empty as a whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimPages {
    pages: BTreeMap<u64, Arc<Vec<Option<Claim>>>>,
}

impl ClaimPages {
    pub(crate) fn get(&self, number: u64) -> Option<&Claim> {
        let page = self.pages.get(&(number / PAGE_CLAIMS))?;
        page.get((number % PAGE_CLAIMS) as usize)?.as_ref()
    }

    pub(crate) fn set(&mut self, number: u64, claim: Claim) {
        let page = Arc::make_mut(self.pages.entry(number / PAGE_CLAIMS).or_default());
        let place = (number % PAGE_CLAIMS) as usize;
        if page.len() <= place {
            page.resize(place + 1, None);
        }
        page[place] = Some(claim);
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<Claim> {
        let page = self.pages.get_mut(&(number / PAGE_CLAIMS))?;
        let claim = Arc::make_mut(page).get_mut((number % PAGE_CLAIMS) as usize)?.take();
        if page.iter().all(Option::is_none) {
            self.pages.remove(&(number / PAGE_CLAIMS));
        }
        claim
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &Claim)> {
        self.pages.iter().flat_map(|(page_number, page)| {
            let first = page_number * PAGE_CLAIMS;
            (first..).zip(&**page).filter_map(|(number, claim)| Some((number, claim.as_ref()?)))
        })
    }
}
