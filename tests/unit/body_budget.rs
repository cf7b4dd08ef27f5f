//! The memory budget of request bodies.

use std::sync::Arc;

use tulipbridge::body_budget::{BodyBudget, BodyBudgetError, BodyReservation};

/// The size of the budget of each test, in bytes.
const BUDGET_BYTES: usize = 1_000;

fn reserve(budget: &Arc<BodyBudget>, bytes: usize) -> Result<BodyReservation, BodyBudgetError> {
    BodyReservation::acquire(budget, bytes)
}

/// Guards against a front that is killed for memory by one long body: even a single body must fit.
#[test]
fn body_never_exceeds_the_budget() {
    let budget = BodyBudget::new(BUDGET_BYTES);
    let too_long = reserve(&budget, BUDGET_BYTES + 1).err();
    assert_eq!(too_long, Some(BodyBudgetError::TooLong));
    let mut growing = reserve(&budget, BUDGET_BYTES).expect("it fits exactly");
    assert_eq!(
        growing.grow(BUDGET_BYTES + 1),
        Err(BodyBudgetError::TooLong)
    );
    assert_eq!(
        reserve(&budget, 1).err(),
        Some(BodyBudgetError::Exhausted),
        "the first body has all of it"
    );
}

/// Guards against reads that are rejected while long bodies use up the budget.
#[test]
fn request_without_a_body_fits_a_budget_that_is_used_up() {
    let budget = BodyBudget::new(BUDGET_BYTES);
    let _body = reserve(&budget, BUDGET_BYTES).expect("it fits exactly");
    assert!(reserve(&budget, 0).is_ok());
}

/// Guards against a body that does not fit and still takes memory from those that do.
#[test]
fn body_that_does_not_fit_reserves_nothing() {
    let budget = BodyBudget::new(BUDGET_BYTES);
    let mut growing = reserve(&budget, 400).expect("it fits");
    let other = reserve(&budget, 500).expect("it fits too");
    assert_eq!(growing.grow(501), Err(BodyBudgetError::Exhausted));
    let small = reserve(&budget, 100).expect("what is left");
    drop((other, small));
    growing.grow(BUDGET_BYTES).expect("the others have ended");
    drop(growing);
    assert!(reserve(&budget, BUDGET_BYTES).is_ok(), "all is free again");
}
