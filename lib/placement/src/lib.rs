//! Placement of tasks on workers behind one trait.
