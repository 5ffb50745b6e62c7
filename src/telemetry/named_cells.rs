use std::collections::HashMap;
use std::sync::Arc;

use arc_swap::ArcSwap;

type Cells<T> = HashMap<&'static str, Arc<T>>;

/// Atomic cells by name. A known name is found without a lock; a new one copies the map.
#[derive(Default)]
pub(super) struct NamedCells<T> {
    cells: ArcSwap<Cells<T>>,
}

impl<T: Default> NamedCells<T> {
    /// Runs `update` on the cell under `name`, which is made at its first use.
    pub(super) fn with(&self, name: &'static str, update: impl FnOnce(&T)) {
        if let Some(cell) = self.cells.load().get(name) {
            return update(cell);
        }
        let new = Arc::new(T::default());
        self.cells.rcu(|cells| {
            let mut cells = Cells::clone(cells);
            cells.entry(name).or_insert_with(|| new.clone());
            cells
        });
        // Another thread may have added the name first, so its cell is the one in use.
        update(self.cells.load().get(name).unwrap_or(&new));
    }

    pub(super) fn for_each(&self, mut visit: impl FnMut(&'static str, &T)) {
        for (name, cell) in self.cells.load().iter() {
            visit(name, cell);
        }
    }
}
