//! Byte ranges in requests (`Range`) and answers (`Content-Range`), as in RFC 9110, section 14.

use std::fmt;
use std::ops::Range;

/// The byte range of a `Range` header. Only a single range is supported; a header with several is
/// ignored, as the standard allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteRange {
    /// From the first position to the last, inclusive, or to the end of the object.
    From(u64, Option<u64>),
    /// This many bytes at the end of the object.
    Last(u64),
}

impl ByteRange {
    /// Parses a `Range` header. Returns `None` if it is not a valid byte range; the standard
    /// requires such a header to be ignored.
    pub fn parse(header: &str) -> Option<ByteRange> {
        let (first, last) = header.trim().strip_prefix("bytes=")?.split_once('-')?;
        let first = first.trim();
        let last = last.trim();
        if first.is_empty() {
            return parse_digits(last).map(ByteRange::Last);
        }
        let first = parse_digits(first)?;
        if last.is_empty() {
            return Some(ByteRange::From(first, None));
        }
        let last = parse_digits(last)?;
        (first <= last).then_some(ByteRange::From(first, Some(last)))
    }

    /// Returns the positions of the range in an object of `size` bytes, or `None` if it has none.
    pub fn within(self, size: u64) -> Option<Range<u64>> {
        let bytes = match self {
            ByteRange::From(first, last) => {
                first..last.map_or(size, |last| last.saturating_add(1).min(size))
            }
            ByteRange::Last(count) => size.saturating_sub(count)..size,
        };
        (!bytes.is_empty()).then_some(bytes)
    }
}

/// Formats the value of a `Range` header, in the form that [`ByteRange::parse`] accepts.
impl fmt::Display for ByteRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ByteRange::From(first, Some(last)) => write!(formatter, "bytes={first}-{last}"),
            ByteRange::From(first, None) => write!(formatter, "bytes={first}-"),
            ByteRange::Last(count) => write!(formatter, "bytes=-{count}"),
        }
    }
}

/// Parses a number that consists of decimal digits only; `parse` alone would accept a sign.
fn parse_digits(text: &str) -> Option<u64> {
    let only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| only_digits)
}

/// The byte range that an answer contains, from its `Content-Range` header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContentRange {
    /// Positions in the object, in bytes.
    pub bytes: Range<u64>,
    /// Size of the complete object, in bytes.
    pub size: u64,
}

impl ContentRange {
    /// Parses `bytes FIRST-LAST/SIZE`. Returns `None` if the header has another form or the range
    /// exceeds the size.
    pub fn parse(header: &str) -> Option<ContentRange> {
        let (range, size) = header.trim().strip_prefix("bytes ")?.split_once('/')?;
        let (first, last) = range.split_once('-')?;
        let first: u64 = first.parse().ok()?;
        let last: u64 = last.parse().ok()?;
        let size: u64 = size.parse().ok()?;
        (first <= last && last < size).then_some(ContentRange {
            bytes: first..last + 1,
            size,
        })
    }
}
