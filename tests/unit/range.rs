//! Byte ranges of the object API.

use tulipbridge::object::range::{ByteRange, ContentRange};

const SIZE: u64 = 10;

#[test]
fn a_range_selects_the_bytes_of_an_object_that_the_standard_says() {
    let cases = [
        ("bytes=0-4", Some(0..5)),
        ("bytes=5-", Some(5..10)),
        ("bytes=8-99", Some(8..10)),
        ("bytes=-3", Some(7..10)),
        ("bytes=-30", Some(0..10)),
        ("bytes=10-", None),
        ("bytes=10-12", None),
        ("bytes=-0", None),
        ("bytes=9-18446744073709551615", Some(9..10)),
    ];
    for (header, expected) in cases {
        assert_eq!(
            ByteRange::parse(header).expect(header).within(SIZE),
            expected,
            "{header}"
        );
    }
    assert_eq!(
        ByteRange::parse("bytes=0-").expect("valid").within(0),
        None,
        "an empty object has no bytes"
    );
}

#[test]
fn a_header_that_is_not_a_single_valid_range_is_ignored() {
    for header in [
        "bytes=4-2",
        "bytes=a-b",
        "bytes=+1-2",
        "items=0-1",
        "bytes=",
        "bytes=0-1,3-4",
        "bytes=99999999999999999999-",
    ] {
        assert_eq!(ByteRange::parse(header), None, "{header}");
    }
}

#[test]
fn a_content_range_must_lie_within_the_size() {
    assert_eq!(
        ContentRange::parse("bytes 0-4/10"),
        Some(ContentRange {
            bytes: 0..5,
            size: SIZE
        })
    );
    for header in [
        "bytes */10",
        "bytes 4-2/10",
        "bytes 0-10/10",
        "bytes 0-4/*",
        "",
    ] {
        assert_eq!(ContentRange::parse(header), None, "{header}");
    }
}
