/// Steps to a doubling of the value; a step is 9%.
const STEPS: f64 = 8.0;
const BUCKETS: usize = 256;
/// Weight that a report keeps after each later one; half after 138 reports.
const KEEP: f32 = 0.995;

/// Exponentially aged distribution of positive amounts in buckets of equal ratio.
#[derive(Clone, Debug)]
pub(crate) struct Histogram {
    /// Weight of each bucket from `first` on; grown on demand, since the values of an entry span
    /// a small part of the range.
    weights: Vec<f32>,
    first: usize,
    total: f32,
}

impl Histogram {
    pub(crate) fn new() -> Self {
        Self {
            weights: Vec::new(),
            first: 0,
            total: 0.0,
        }
    }

    pub(crate) fn add(&mut self, value: u64) {
        let bucket = bucket(value);
        if self.weights.is_empty() {
            self.first = bucket;
        }
        if bucket < self.first {
            let missing = self.first - bucket;
            self.weights.splice(0..0, std::iter::repeat_n(0.0, missing));
            self.first = bucket;
        }
        if bucket - self.first >= self.weights.len() {
            self.weights.resize(bucket - self.first + 1, 0.0);
        }
        for weight in &mut self.weights {
            *weight *= KEEP;
        }
        self.weights[bucket - self.first] += 1.0;
        self.total = self.total * KEEP + 1.0;
    }

    /// Value below which this part of the weight lies; 0 without reports.
    ///
    /// Interpolated within its bucket, so that the width of a bucket is not added to every
    /// reservation.
    pub(crate) fn quantile(&self, quantile: f32) -> u64 {
        let wanted = self.total * quantile;
        let mut below = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            if *weight > 0.0 && below + weight >= wanted {
                let part = f64::from((wanted - below) / weight);
                return value((self.first + index) as f64 - 1.0 + part);
            }
            below += weight;
        }
        // Rounding of the sums can leave `wanted` just above the last one.
        self.weights
            .len()
            .checked_sub(1)
            .map_or(0, |last| value((self.first + last) as f64))
    }
}

/// Bucket that ends at or above the value.
fn bucket(value: u64) -> usize {
    let step = ((value.max(1) as f64).log2() * STEPS).ceil();
    (step as usize).min(BUCKETS - 1)
}

fn value(step: f64) -> u64 {
    (step / STEPS).exp2().ceil() as u64
}
