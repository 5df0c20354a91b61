//! Stand-in workers and executors for trials and tests.
