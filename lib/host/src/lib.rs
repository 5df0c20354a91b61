//! Runtime of an entry host: replica driver, links and scheduler loop.
