use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of the request path; they only increase.
        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $(pub(crate) $name: AtomicU64,)*
        }

        impl Counters {
            /// Reads the current values, not as one atomic snapshot.
            pub(crate) fn snapshot(&self) -> ProxyStats {
                ProxyStats {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }

        /// Values of the counters of the request path.
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub struct ProxyStats {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl ProxyStats {
            /// Pairs of name and value of each counter, for the metrics page.
            pub fn named(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

counters! {
    /// Requests received from callers.
    requests,
    /// Requests answered by an executor.
    answered,
    /// Requests refused before they were sent.
    refused,
    /// Requests whose outcome is unknown.
    not_known,
    /// Requests whose response was incomplete or too large to keep.
    cut_short,
    /// Responses that arrived after the deadline and were dropped.
    late_answers,
    /// Requests sent to executors, retries included.
    sent,
    /// Retries of requests.
    retries,
    /// Retries that the retry budget did not allow.
    retries_refused,
    /// Requests forwarded to another home host.
    forwarded,
    /// Requests that other hosts forwarded to this host.
    served_for_others,
    /// Connections opened to executors.
    connections_opened,
    /// Failed attempts to open a connection to an executor.
    connect_failures,
    /// Requests answered with the stored response of an earlier request with the same key.
    stored_answers,
}

/// Increments a counter.
pub(crate) fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
