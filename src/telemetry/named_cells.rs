use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;

type Cells<T> = HashMap<&'static str, Arc<T>>;

/// Map from names to shared atomic cells. Looking up an existing name takes no lock; inserting a
/// new name copies the map and swaps it in (read-copy-update).
#[derive(Default)]
pub(super) struct NamedCells<T> {
    cells: ArcSwap<Cells<T>>,
}

impl<T: Default> NamedCells<T> {
    /// Calls `update` with the cell for `name`, inserting a default cell if there is none.
    pub(super) fn with_cell(&self, name: &'static str, update: impl FnOnce(&T)) {
        if let Some(cell) = self.cells.load().get(name) {
            return update(cell);
        }
        let new_cell = Arc::new(T::default());
        self.cells.rcu(|cells| {
            let mut cells = Cells::clone(cells);
            cells.entry(name).or_insert_with(|| new_cell.clone());
            cells
        });
        // Another thread may have inserted the name first; the update must go to the cell in the
        // map.
        update(self.cells.load().get(name).unwrap_or(&new_cell));
    }

    /// Calls `visit` for every name and its cell, in no particular order.
    pub(super) fn for_each(&self, mut visit: impl FnMut(&'static str, &T)) {
        for (name, cell) in self.cells.load().iter() {
            visit(name, cell);
        }
    }
}
