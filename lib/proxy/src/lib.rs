//! Path of service requests from an entry host to executors.
