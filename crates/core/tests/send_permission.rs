//! Whether an attempt may begin to write.

use tulipbridge_core::send_permission::{may_begin, SendQuestion, SendRefusal};
use tulipbridge_core::Outcome;

const ALLOWED: SendQuestion = SendQuestion {
    now: 10,
    withdrawn: None,
    begin_by: Some(11),
    deadline: 11,
    unread_bytes: false,
};

#[test]
fn attempt_begins_only_where_nothing_forbids_it() {
    assert_eq!(may_begin(&ALLOWED), Ok(()));
    let withdrawn = SendQuestion {
        withdrawn: Some(Outcome::NotExecuted),
        ..ALLOWED
    };
    assert_eq!(
        may_begin(&withdrawn),
        Err(SendRefusal::Withdrawn(Outcome::NotExecuted))
    );
    let late_repeat = SendQuestion {
        begin_by: Some(10),
        ..ALLOWED
    };
    assert_eq!(may_begin(&late_repeat), Err(SendRefusal::WindowOver));
    let late = SendQuestion {
        deadline: 10,
        ..ALLOWED
    };
    assert_eq!(may_begin(&late), Err(SendRefusal::DeadlinePassed));
    let unread = SendQuestion {
        unread_bytes: true,
        ..ALLOWED
    };
    assert_eq!(may_begin(&unread), Err(SendRefusal::UnreadBytes));
}

#[test]
fn refused_attempt_was_not_executed() {
    for refusal in [SendRefusal::WindowOver, SendRefusal::DeadlinePassed] {
        assert_eq!(refusal.outcome(), Outcome::NotSent);
    }
    assert!(!SendRefusal::UnreadBytes.outcome().may_have_executed());
}
