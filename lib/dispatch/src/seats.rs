use std::collections::{BTreeMap, BTreeSet, btree_map};

use tarragon_names::WorkerName;
use tarragon_workflow::WorkerIncarnation;

use crate::seat::Seat;

/// The workers, and which of them were touched since their orders and looks were last considered.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seats {
    by_name: BTreeMap<WorkerName, Seat>,
    touched: BTreeSet<WorkerName>,
}

impl Seats {
    pub(crate) fn get(&self, worker: &WorkerName) -> Option<&Seat> {
        self.by_name.get(worker)
    }

    /// Gives access for a change, after which the worker's orders and looks are considered again.
    pub(crate) fn get_mut(&mut self, worker: &WorkerName) -> Option<&mut Seat> {
        let seat = self.by_name.get_mut(worker)?;
        if !self.touched.contains(worker) {
            self.touched.insert(worker.clone());
        }
        Some(seat)
    }

    /// Like `get_mut`, unless another life of the worker has taken the place of this one.
    pub(crate) fn of_life(&mut self, life: &WorkerIncarnation) -> Option<&mut Seat> {
        self.get_mut(&life.worker)
            .filter(|seat| seat.life() == life)
    }

    pub(crate) fn insert(&mut self, worker: WorkerName, seat: Seat) {
        self.touched.insert(worker.clone());
        self.by_name.insert(worker, seat);
    }

    pub(crate) fn remove(&mut self, worker: &WorkerName) -> Option<Seat> {
        self.touched.remove(worker);
        self.by_name.remove(worker)
    }

    pub(crate) fn iter(&self) -> btree_map::Iter<'_, WorkerName, Seat> {
        self.by_name.iter()
    }

    /// Access to these workers, for their orders and looks; it touches none.
    pub(crate) fn each_mut<F>(&mut self, workers: &BTreeSet<WorkerName>, mut f: F)
    where
        F: FnMut(&WorkerName, &mut Seat),
    {
        for worker in workers {
            if let Some(seat) = self.by_name.get_mut(worker) {
                f(worker, seat);
            }
        }
    }

    /// Access to all, for looks at time-outs; it touches none.
    pub(crate) fn iter_mut(&mut self) -> btree_map::IterMut<'_, WorkerName, Seat> {
        self.by_name.iter_mut()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }

    pub(crate) fn clear(&mut self) {
        self.by_name.clear();
        self.touched.clear();
    }

    /// Has every worker considered again.
    pub(crate) fn touch_all(&mut self) {
        self.touched = self.by_name.keys().cloned().collect();
    }

    /// The workers to be considered now.
    pub(crate) fn take_touched(&mut self) -> BTreeSet<WorkerName> {
        std::mem::take(&mut self.touched)
    }
}
