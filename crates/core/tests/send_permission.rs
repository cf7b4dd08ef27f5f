//! The check whether an attempt may start to write.

use tulipbridge_core::send_permission::{check_send, SendConditions, SendDenied};
use tulipbridge_core::Outcome;

const ALLOWED: SendConditions = SendConditions {
    now: 10,
    withdrawn: None,
    begin_by: Some(11),
    deadline: 11,
    unread_bytes: false,
};

#[test]
fn attempt_begins_only_where_nothing_forbids_it() {
    assert_eq!(check_send(&ALLOWED), Ok(()));
    let withdrawn = SendConditions {
        withdrawn: Some(Outcome::NotExecuted),
        ..ALLOWED
    };
    assert_eq!(
        check_send(&withdrawn),
        Err(SendDenied::Withdrawn(Outcome::NotExecuted))
    );
    let late_retry = SendConditions {
        begin_by: Some(10),
        ..ALLOWED
    };
    assert_eq!(check_send(&late_retry), Err(SendDenied::RetryWindowExpired));
    let late = SendConditions {
        deadline: 10,
        ..ALLOWED
    };
    assert_eq!(check_send(&late), Err(SendDenied::DeadlineExceeded));
    let unread = SendConditions {
        unread_bytes: true,
        ..ALLOWED
    };
    assert_eq!(check_send(&unread), Err(SendDenied::UnreadBytes));
}

#[test]
fn refused_attempt_was_not_executed() {
    for denial in [SendDenied::RetryWindowExpired, SendDenied::DeadlineExceeded] {
        assert_eq!(denial.outcome(), Outcome::NotSent);
    }
    assert!(!SendDenied::UnreadBytes.outcome().may_have_executed());
}
