//! Budget of repeated orders.

use tarragon_delivery::RepeatBudget;

/// Guards against repeats that grow with the load that makes them necessary.
#[test]
fn repeats_are_a_share_of_the_answers() {
    let mut budget = RepeatBudget::default();
    let saved = (0..100).filter(|_| budget.try_take()).count();
    assert!(saved < 100, "the first repeats are limited as well");
    (0..1_000).for_each(|_| budget.record_answer());
    let mut repeats = (0..1_000).filter(|_| budget.try_take()).count();
    assert_eq!(repeats, saved, "no more are saved up");
    for _ in 0..1_000 {
        budget.record_answer();
        repeats += usize::from(budget.try_take());
    }
    assert_eq!(repeats - saved, 100);
}
