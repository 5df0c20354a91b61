/// Probability that a fair coin shows heads at least `heads` times in `tosses`.
///
/// It bounds the chance that so many units lie above a value that their median does not exceed. The
/// test needs no distribution of the noise, so a straggler counts like any other unit.
pub(crate) fn chance_of_at_least(heads: usize, tosses: usize) -> f64 {
    let mut term = 0.5_f64.powi(tosses as i32);
    let mut sum = 0.0;
    for k in 0..=tosses {
        if k >= heads {
            sum += term;
        }
        term *= (tosses - k) as f64 / (k + 1) as f64;
    }
    sum.min(1.0)
}

/// Median of the values, which are reordered; `None` without values.
pub(crate) fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let is_even = values.len().is_multiple_of(2);
    let (below, upper, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    let upper = *upper;
    if is_even {
        let lower = below.iter().copied().max_by(f64::total_cmp);
        Some(f64::midpoint(lower.unwrap_or(upper), upper))
    } else {
        Some(upper)
    }
}
