//! Tests of the cost of delay to callers.

use std::time::Duration;

use figloft::dispatch::delay_cost::{self, DelayCost};

const SECOND: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-9
}

/// Guards the bounds of the value curve: an end exactly at a bound still has the value before it.
#[test]
fn value_falls_after_the_objective_and_after_three_times_the_objective() {
    let cases = [
        (Duration::ZERO, 1.0),
        (SECOND, 1.0),
        (SECOND + MS, 0.07),
        (3 * SECOND, 0.07),
        (3 * SECOND + MS, 0.0),
    ];
    for (end, value) in cases {
        assert!(is_close(delay_cost::value_at(end, SECOND), value), "{end:?}");
    }
}

/// Guards against jobs without an estimate, or of an unknown queue, that count as worthless or as infinitely
/// valuable.
#[test]
fn worth_depends_on_the_work_relative_to_the_queue() {
    let cases = [(0, 1.0), (100, 1.0), (10, 0.37), (300, 2.4), (1_000_000, 4.0)];
    for (work, worth) in cases {
        assert!(is_close(delay_cost::worth(work, 100.0), worth), "{work}");
    }
    assert!(is_close(delay_cost::worth(5, 0.0), 1.0));
    let unknown = DelayCost::new(SECOND, 0, 0, 0, 100.0);
    assert_eq!(unknown, DelayCost::new(SECOND, 0, 100, 100, 100.0));
    assert!(
        DelayCost::new(SECOND, 0, 0, 0, 0.0)
            .value_per_work(SECOND)
            .is_finite()
    );
}

/// Guards against a priority of an operator that overflows or makes jobs worthless.
#[test]
fn lower_priorities_weigh_less_and_never_nothing() {
    assert!(is_close(delay_cost::priority_weight(0), 1.0));
    assert!(delay_cost::priority_weight(1) < delay_cost::priority_weight(0));
    assert!(delay_cost::priority_weight(u32::MAX) > 0.0);
}

/// Guards against work that is nearly done and gives way to work that has just begun.
#[test]
fn less_remaining_work_has_more_value_for_its_work() {
    let begun = DelayCost::new(SECOND, 0, 100, 20, 100.0);
    let waiting = DelayCost::new(SECOND, 0, 100, 100, 100.0);
    assert!(begun.value_per_work(SECOND) > waiting.value_per_work(SECOND));
    assert!(is_close(begun.cost_of_delay(SECOND, 2 * SECOND), 0.93));
    assert!(is_close(begun.cost_of_delay(SECOND, 4 * SECOND), 1.0));
    assert!(is_close(begun.cost_of_delay(4 * SECOND, 5 * SECOND), 0.0));
    assert!(DelayCost::new(Duration::MAX, 0, 1, 1, 1.0).value_per_work(SECOND) > 0.0);
}
