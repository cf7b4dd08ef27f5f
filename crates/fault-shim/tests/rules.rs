//! Tests of parsing and applying the rules of the fault shim.

use tulipbridge_fault_shim::rules::{clock_offset_ms, effect, Call, Effect};

const RULES: &str =
    "accept ECONNABORTED 30\nrecv short 50\nfile-write ENOSPC\nno rule\nclock -3600000 100\n";

#[test]
fn rule_applies_to_its_call_with_its_probability() {
    assert_eq!(effect(RULES, Call::Accept, "", 29), Some(Effect::Fail(103)));
    assert_eq!(effect(RULES, Call::Accept, "", 30), None);
    assert_eq!(effect(RULES, Call::Receive, "", 0), Some(Effect::Short));
    assert_eq!(
        effect(RULES, Call::FileWrite, "", 99),
        Some(Effect::Fail(28))
    );
    assert_eq!(effect(RULES, Call::Send, "", 0), None);
}

#[test]
fn wall_clock_offset_comes_only_from_a_clock_rule() {
    assert_eq!(clock_offset_ms(RULES), -3_600_000);
    assert_eq!(clock_offset_ms("accept ENFILE 10"), 0);
    assert_eq!(effect("", Call::Accept, "", 0), None);
}

#[test]
fn rule_can_be_limited_to_the_end_of_a_path() {
    let rules = "open EIO 100 held.json";
    assert_eq!(
        effect(rules, Call::Open, "/tmp/t-held.json", 0),
        Some(Effect::Fail(5))
    );
    assert_eq!(effect(rules, Call::Open, "/tmp/config.json", 0), None);
}
