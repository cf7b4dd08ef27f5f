//! Byte ranges, as a request asks for them and as an answer states them.

/// What a `Range` header asks for. One range alone; a set of them may be ignored by the standard and is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range {
    /// From the first to the second, or to the end.
    From(u64, Option<u64>),
    /// The last so many bytes.
    Last(u64),
}

impl Range {
    /// Reads the header; what is not a valid byte range is no range, as the standard has it.
    pub fn parse(header: &str) -> Option<Range> {
        let (first, last) = header.trim().strip_prefix("bytes=")?.split_once('-')?;
        let (first, last) = (first.trim(), last.trim());
        let digits = |s: &str| s.bytes().all(|b| b.is_ascii_digit()).then(|| s.parse().ok()).flatten();
        if first.is_empty() {
            return digits(last).map(Range::Last);
        }
        let first = digits(first)?;
        if last.is_empty() {
            return Some(Range::From(first, None));
        }
        let last = digits(last)?;
        (first <= last).then_some(Range::From(first, Some(last)))
    }

    /// The first byte and the one past the last, in an object of this size; nothing where it lies past the end.
    pub fn within(self, size: u64) -> Option<(u64, u64)> {
        let (first, end) = match self {
            Range::From(first, last) => (first, last.map_or(size, |l| l.saturating_add(1).min(size))),
            Range::Last(count) => (size.saturating_sub(count), size),
        };
        (first < end).then_some((first, end))
    }
}

/// Reads `Content-Range: bytes FIRST-LAST/SIZE`: first byte, one past the last, size.
pub fn content_range(header: &str) -> Option<(u64, u64, u64)> {
    let (range, size) = header.trim().strip_prefix("bytes ")?.split_once('/')?;
    let (first, last) = range.split_once('-')?;
    let (first, last, size): (u64, u64, u64) = (first.parse().ok()?, last.parse().ok()?, size.parse().ok()?);
    (first <= last && last < size).then_some((first, last + 1, size))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_as_the_standard_has_them() {
        let cases = [
            ("bytes=0-4", Some((0, 5))),
            ("bytes=5-", Some((5, 10))),
            ("bytes=8-99", Some((8, 10))),
            ("bytes=-3", Some((7, 10))),
            ("bytes=-30", Some((0, 10))),
            ("bytes=10-", None),
            ("bytes=10-12", None),
            ("bytes=-0", None),
            ("bytes=9-18446744073709551615", Some((9, 10))),
        ];
        for (header, expected) in cases {
            assert_eq!(Range::parse(header).expect(header).within(10), expected, "{header}");
        }
        assert_eq!(Range::parse("bytes=0-").expect("valid").within(0), None, "nothing has no first byte");
        for odd in [
            "bytes=4-2",
            "bytes=a-b",
            "bytes=+1-2",
            "items=0-1",
            "bytes=",
            "bytes=0-1,3-4",
            "bytes=99999999999999999999-",
        ] {
            assert_eq!(Range::parse(odd), None, "{odd}");
        }
    }

    #[test]
    fn what_a_node_states() {
        assert_eq!(content_range("bytes 0-4/10"), Some((0, 5, 10)));
        for odd in ["bytes */10", "bytes 4-2/10", "bytes 0-10/10", "bytes 0-4/*", ""] {
            assert_eq!(content_range(odd), None, "{odd}");
        }
    }
}
