use std::collections::BTreeMap;
use std::sync::Arc;

use crate::state::claim::Claim;

/// Claims per page. The first change to a page after a snapshot copies the whole page.
const CLAIMS_PER_PAGE: u64 = 256;

/// Claims by number, in copy-on-write pages that are shared with the copies made for snapshots.
/// Numbers increase and old claims expire first, so whole pages fill and empty together.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimPages {
    pages: BTreeMap<u64, Arc<Vec<Option<Claim>>>>,
}

impl ClaimPages {
    pub(crate) fn get(&self, number: u64) -> Option<&Claim> {
        let page = self.pages.get(&(number / CLAIMS_PER_PAGE))?;
        page.get((number % CLAIMS_PER_PAGE) as usize)?.as_ref()
    }

    pub(crate) fn set(&mut self, number: u64, claim: Claim) {
        let page = Arc::make_mut(self.pages.entry(number / CLAIMS_PER_PAGE).or_default());
        let index = (number % CLAIMS_PER_PAGE) as usize;
        if page.len() <= index {
            page.resize(index + 1, None);
        }
        page[index] = Some(claim);
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<Claim> {
        let page = self.pages.get_mut(&(number / CLAIMS_PER_PAGE))?;
        let claim = Arc::make_mut(page).get_mut((number % CLAIMS_PER_PAGE) as usize)?.take();
        if page.iter().all(Option::is_none) {
            self.pages.remove(&(number / CLAIMS_PER_PAGE));
        }
        claim
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (u64, &Claim)> {
        self.pages.iter().flat_map(|(page_number, page)| {
            let first = page_number * CLAIMS_PER_PAGE;
            (first..).zip(&**page).filter_map(|(number, claim)| Some((number, claim.as_ref()?)))
        })
    }
}
