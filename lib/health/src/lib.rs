//! Attribution of failures to workers or to jobs.
