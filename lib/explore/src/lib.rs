//! Breadth-first explorer of state spaces, for tests only.
