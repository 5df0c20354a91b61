use std::{collections::BTreeMap, ops::Bound};

/// Digits of a job key in a path.
const KEY_DIGITS: &str = "0123456789abcdef";

/// Number of digits of a job key.
const KEY_LENGTH: usize = 16;

/// Prefixes of all queues by host, for finding out which of them take the paths of others.
#[derive(Debug)]
pub(crate) struct Reach<'a> {
    queues: BTreeMap<(&'a str, &'a str), usize>,
}

impl<'a> Reach<'a> {
    /// Collects host and prefix of each queue, in the order of the queues.
    pub(crate) fn new<I>(places: I) -> Self
    where
        I: Iterator<Item = (&'a str, &'a str)>,
    {
        Self {
            queues: places.zip(0..).collect(),
        }
    }

    /// Returns a queue with a longer prefix if longer prefixes take the path of every job under
    /// `prefix`.
    pub(crate) fn covering_queue(&self, host: &str, prefix: &str) -> Option<usize> {
        let mut path = prefix.to_owned();
        let mut first = None;
        self.is_covered(host, &mut path, 0, &mut first)
            .then_some(first)
            .flatten()
    }

    /// Whether longer prefixes take all paths that continue `path` by the remaining digits of a key.
    ///
    /// Descends only where a longer prefix exists, so the work is bounded by the number of prefixes
    /// below `path` and not by the number of keys.
    fn is_covered(
        &self,
        host: &str,
        path: &mut String,
        digits: usize,
        first: &mut Option<usize>,
    ) -> bool {
        if digits == KEY_LENGTH {
            return false;
        }
        KEY_DIGITS.chars().all(|digit| {
            path.push(digit);
            let from = Bound::Included((host, path.as_str()));
            let next = self.queues.range((from, Bound::Unbounded)).next();
            let next = next.filter(|((next_host, prefix), _)| {
                *next_host == host && prefix.starts_with(path.as_str())
            });
            let is_covered = match next {
                None => false,
                Some(((_, prefix), queue)) if prefix.len() == path.len() => {
                    first.get_or_insert(*queue);
                    true
                }
                Some(_) => self.is_covered(host, path, digits + 1, first),
            };
            path.pop();
            is_covered
        })
    }
}

/// Whether the host name of a request can be equal to `host`: a port is cut off before the
/// comparison.
pub(crate) fn is_host_matchable(host: &str) -> bool {
    !host.contains(is_unmatchable) && !host.contains(['/', ':'])
}

/// Whether the path of a job can begin with `prefix`. A path begins with a slash, and a job key has
/// none.
pub(crate) fn is_prefix_matchable(prefix: &str) -> bool {
    prefix.starts_with('/') && !prefix.contains(is_unmatchable)
}

/// Characters that appear neither in the host name nor in the path of a request.
fn is_unmatchable(c: char) -> bool {
    matches!(c, '?' | '#' | ' ') || c.is_ascii_control()
}
