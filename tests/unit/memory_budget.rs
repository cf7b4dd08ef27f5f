//! The memory budget of buffers, and the bytes that keep a part of it.

use std::sync::Arc;

use bytes::Bytes;
use tulipbridge::memory_budget::{MemoryBudget, Reservation};

fn reserve(budget: &Arc<MemoryBudget>, bytes: usize) -> Option<Reservation> {
    Reservation::acquire(budget, bytes)
}

/// Guards against two parts that together take more than the whole has.
#[test]
fn parts_never_take_more_than_the_whole() {
    let whole = MemoryBudget::new(100);
    let bodies = MemoryBudget::part_of(&whole, 60);
    assert!(reserve(&bodies, 61).is_none(), "more than the part has");
    let body = reserve(&bodies, 60).expect("all of the part");
    let response = reserve(&whole, 40).expect("what bodies may not take");
    assert!(reserve(&whole, 1).is_none(), "all is reserved");
    drop(body);
    let second = reserve(&whole, 50).expect("what the body has left");
    assert!(reserve(&bodies, 11).is_none(), "the whole has 10 left");
    assert_eq!(bodies.reserved_bytes(), 0, "a failure reserves nothing");
    drop((response, second));
    assert_eq!(whole.reserved_bytes(), 0);
}

/// Guards against memory that is returned while a slice of it is still used, or never.
#[test]
fn bytes_keep_their_memory_until_their_last_slice_is_dropped() {
    let budget = MemoryBudget::new(100);
    let mut reservation = reserve(&budget, 90).expect("it fits");
    let bytes = reservation.attach(Bytes::from_static(b"0123456789"));
    drop(reservation);
    assert_eq!(budget.reserved_bytes(), 10, "only what is attached is kept");
    let slice = bytes.slice(8..);
    drop(bytes);
    assert_eq!(budget.reserved_bytes(), 10);
    drop(slice);
    assert_eq!(budget.reserved_bytes(), 0);
}
