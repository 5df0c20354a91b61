use tokio::time::Instant;

/// Metrics pages of all hosts at one time.
#[derive(Clone, Debug)]
pub struct MetricsSample {
    taken: Instant,
    pages: Vec<String>,
}

impl MetricsSample {
    /// Creates a sample with the current time.
    pub fn new(pages: Vec<String>) -> Self {
        Self {
            taken: Instant::now(),
            pages,
        }
    }

    /// Returns the increase per second of a link counter, within and between failure domains.
    pub fn rate_since(&self, before: &Self, name: &str) -> (f64, f64) {
        let seconds = self.taken.duration_since(before.taken).as_secs_f64();
        let (within, across) = self.sums(name);
        let (earlier_within, earlier_across) = before.sums(name);
        let rate = |later: f64, earlier: f64| (later - earlier) / seconds.max(0.001);
        (rate(within, earlier_within), rate(across, earlier_across))
    }

    /// Returns the sums over all hosts, within and between failure domains.
    fn sums(&self, name: &str) -> (f64, f64) {
        let (mut within, mut across) = (0.0, 0.0);
        for line in self.pages.iter().flat_map(|page| page.lines()) {
            let labels = line
                .strip_prefix(name)
                .and_then(|rest| rest.strip_prefix('{'));
            let Some((labels, value)) = labels.and_then(|rest| rest.split_once("} ")) else {
                continue;
            };
            let value: f64 = value.trim().parse().unwrap_or(0.0);
            let ends: Vec<_> = labels.split('"').skip(1).step_by(2).collect();
            match ends.as_slice() {
                [from, to] if from == to => within += value,
                _ => across += value,
            }
        }
        (within, across)
    }
}
