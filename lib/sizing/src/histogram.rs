/// Buckets for each doubling of the value; the bounds of a bucket differ by 9%.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Number of buckets; values above 2^(255/8) share the last one.
const BUCKET_COUNT: usize = 256;
/// Factor applied to all earlier weights at each report; a weight halves after 138 reports.
const DECAY_FACTOR: f32 = 0.995;

/// Histogram of positive amounts with logarithmic buckets and exponential decay.
#[derive(Clone, Debug)]
pub(crate) struct Histogram {
    /// Weights of the buckets from number `first` on. The vector grows on demand, because the
    /// values of an entry span a small part of the range.
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
        let bucket = bucket_of(value);
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
            *weight *= DECAY_FACTOR;
        }
        self.weights[bucket - self.first] += 1.0;
        self.total = self.total * DECAY_FACTOR + 1.0;
    }

    /// Value below which the fraction `quantile` of the weight lies; 0 without reports.
    ///
    /// Interpolates within the bucket: its upper bound would make every reservation too large by up
    /// to the width of a bucket.
    pub(crate) fn quantile(&self, quantile: f32) -> u64 {
        let target = self.total * quantile;
        let mut below = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            if *weight > 0.0 && below + weight >= target {
                let fraction = f64::from((target - below) / weight);
                return upper_bound((self.first + index) as f64 - 1.0 + fraction);
            }
            below += weight;
        }
        // Rounding errors can leave `target` slightly above the sum of all weights.
        self.weights
            .len()
            .checked_sub(1)
            .map_or(0, |last| upper_bound((self.first + last) as f64))
    }
}

/// Number of the bucket whose upper bound is the first at or above `value`.
fn bucket_of(value: u64) -> usize {
    let bucket = ((value.max(1) as f64).log2() * BUCKETS_PER_DOUBLING).ceil();
    (bucket as usize).min(BUCKET_COUNT - 1)
}

fn upper_bound(bucket: f64) -> u64 {
    (bucket / BUCKETS_PER_DOUBLING).exp2().ceil() as u64
}
