/// Steps to a doubling of the value; a step is 19%.
const STEPS: f64 = 4.0;
const BUCKETS: usize = 96;
/// Weight that a report keeps after each later one; half after 138 reports.
const KEEP: f32 = 0.995;

/// Exponentially aged distribution of positive amounts in buckets of equal ratio.
#[derive(Clone, Debug)]
pub(crate) struct Histogram {
    weights: Box<[f32; BUCKETS]>,
    total: f32,
}

impl Histogram {
    pub(crate) fn new() -> Self {
        Self {
            weights: Box::new([0.0; BUCKETS]),
            total: 0.0,
        }
    }

    pub(crate) fn add(&mut self, value: u64) {
        for weight in self.weights.iter_mut() {
            *weight *= KEEP;
        }
        self.weights[bucket(value)] += 1.0;
        self.total = self.total * KEEP + 1.0;
    }

    /// Upper bound of the bucket that holds this quantile; 0 without reports.
    pub(crate) fn quantile(&self, quantile: f32) -> u64 {
        let wanted = self.total * quantile;
        let mut sum = 0.0;
        let mut last = 0;
        for (index, weight) in self.weights.iter().enumerate() {
            if *weight > 0.0 {
                sum += weight;
                last = index;
                if sum >= wanted {
                    return upper(index);
                }
            }
        }
        if self.total > 0.0 { upper(last) } else { 0 }
    }
}

fn bucket(value: u64) -> usize {
    let step = ((value.max(1) as f64).log2() * STEPS).ceil();
    (step as usize).min(BUCKETS - 1)
}

fn upper(index: usize) -> u64 {
    (index as f64 / STEPS).exp2().ceil() as u64
}
