//! The content of the file of chunk servers in maintenance.

use std::collections::BTreeSet;

use tulipbridge::control::maintenance_file::{decode, encode};

#[test]
fn file_is_decoded_whole_or_not_at_all() {
    assert_eq!(
        decode(br#"{"held":["s-1","s-2"]}"#),
        Some(BTreeSet::from(["s-1".to_owned(), "s-2".to_owned()]))
    );
    assert_eq!(decode(br#"{"held":["s-1","#), None);
    assert_eq!(decode(br#"{"held":["s-1",3]}"#), None);
    assert_eq!(decode(b""), None);
}

#[test]
fn encoded_names_are_decoded_again() {
    let names = BTreeSet::from(["s-1".to_owned(), "s \"2\"".to_owned()]);
    assert_eq!(decode(&encode(names.iter())), Some(names));
}
