use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of the request path; each only grows.
        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $(pub(crate) $name: AtomicU64,)*
        }

        impl Counters {
            /// The counters at one moment.
            pub(crate) fn snapshot(&self) -> ProxyStats {
                ProxyStats {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }

        /// Counters of the request path at one moment.
        #[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
        pub struct ProxyStats {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl ProxyStats {
            /// Each counter with its name, for export.
            pub fn named(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

counters! {
    /// Requests taken from callers.
    requests,
    /// Requests answered by an executor.
    answered,
    /// Requests refused without having been sent.
    refused,
    /// Requests whose outcome is not known.
    not_known,
    /// Answers cut short.
    cut_short,
    /// Answers that arrived after their caller had been answered, and were dropped.
    late_answers,
    /// Requests sent to executors.
    sent,
    /// Requests sent again.
    retries,
    /// Retries that the budget did not allow.
    retries_refused,
    /// Requests sent to another home host.
    forwarded,
    /// Requests of other hosts served here.
    served_for_others,
    /// Connections opened to executors.
    connections_opened,
    /// Failed attempts to open a connection to an executor.
    connect_failures,
    /// Requests answered from a stored answer.
    stored_answers,
}

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
