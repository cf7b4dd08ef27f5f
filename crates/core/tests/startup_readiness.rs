//! When a starting front reports that it is ready.

use tulipbridge_core::startup_readiness::{
    StartupReadiness, CONFIRMED_BY_SILENCE_AFTER, MAX_STARTUP_WAIT, MAX_STARTUP_WAIT_WITH_AGENT,
    UNREACHABLE_WITHIN,
};

#[test]
fn front_is_ready_once_its_list_is_confirmed() {
    let mut readiness = StartupReadiness::new(0, true);
    assert!(!readiness.is_ready(1));
    readiness.list_confirmed();
    assert!(readiness.is_ready(1));
}

#[test]
fn open_watch_without_a_message_confirms_the_list_after_a_while() {
    let mut readiness = StartupReadiness::new(0, true);
    readiness.watch_opened(10);
    assert!(!readiness.is_ready(10));
    assert!(readiness.is_ready(10 + CONFIRMED_BY_SILENCE_AFTER));
}

#[test]
fn unreachable_discovery_does_not_delay_a_front_and_an_overloaded_one_does() {
    let mut readiness = StartupReadiness::new(0, true);
    readiness.call_failed(UNREACHABLE_WITHIN);
    assert!(!readiness.is_ready(UNREACHABLE_WITHIN));
    assert!(readiness.is_ready(MAX_STARTUP_WAIT));
    readiness.call_failed(0);
    assert!(readiness.is_ready(1));
}

#[test]
fn silent_discovery_does_not_delay_a_front_for_longer_than_a_call() {
    let mut readiness = StartupReadiness::new(0, true);
    readiness.call_unanswered();
    assert!(readiness.is_ready(1));
    assert!(StartupReadiness::new(0, false).is_ready(MAX_STARTUP_WAIT_WITH_AGENT));
}
