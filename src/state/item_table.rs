use std::sync::Arc;

use crate::state::item::Item;

/// Items per page, 20 KiB. The first change to a page after a snapshot copies the whole page.
const ITEMS_PER_PAGE: usize = 1_024;

/// The items of a job in copy-on-write pages, which are shared with the copies made for snapshots.
#[derive(Clone, Debug, Default)]
pub(crate) struct ItemTable {
    pages: Vec<Arc<Vec<Item>>>,
}

impl ItemTable {
    /// Creates a table of `total` pending items.
    pub(crate) fn new(total: u32) -> Self {
        std::iter::repeat_n(Item::default(), total as usize).collect()
    }

    pub(crate) fn get(&self, index: u32) -> Option<&Item> {
        let index = index as usize;
        self.pages.get(index / ITEMS_PER_PAGE)?.get(index % ITEMS_PER_PAGE)
    }

    /// The item at `index`. Panics if the index is not below the number of items.
    pub(crate) fn item(&self, index: u32) -> &Item {
        self.get(index).expect("the index is below the number of items")
    }

    /// Mutable variant of [`ItemTable::item`].
    pub(crate) fn item_mut(&mut self, index: u32) -> &mut Item {
        let index = index as usize;
        &mut Arc::make_mut(&mut self.pages[index / ITEMS_PER_PAGE])[index % ITEMS_PER_PAGE]
    }

    pub(crate) fn len(&self) -> usize {
        self.iter().len()
    }

    pub(crate) fn iter(&self) -> impl ExactSizeIterator<Item = &Item> {
        let full_pages = self.pages.len().saturating_sub(1);
        let len = full_pages * ITEMS_PER_PAGE + self.pages.last().map_or(0, |page| page.len());
        (0..len).map(|index| &self.pages[index / ITEMS_PER_PAGE][index % ITEMS_PER_PAGE])
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Item> {
        self.pages.iter_mut().flat_map(|page| Arc::make_mut(page).iter_mut())
    }
}

impl FromIterator<Item> for ItemTable {
    fn from_iter<I: IntoIterator<Item = Item>>(items: I) -> Self {
        let mut items = items.into_iter().peekable();
        let mut pages = Vec::new();
        while items.peek().is_some() {
            let mut page: Vec<Item> = items.by_ref().take(ITEMS_PER_PAGE).collect();
            page.shrink_to_fit();
            pages.push(Arc::new(page));
        }
        Self { pages }
    }
}
