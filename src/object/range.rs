//! Byte ranges in requests (`Range`) and answers (`Content-Range`), as of RFC 9110, section 14.

use std::fmt;
use std::ops::Range;

/// The byte range of a `Range` header. Only a single range is supported; a header with several is
/// ignored, as the standard allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ByteRange {
    /// From the first position to the last one, inclusive, or to the end.
    From(u64, Option<u64>),
    /// This many bytes at the end.
    Last(u64),
}

impl ByteRange {
    /// Parses a `Range` header; `None` where it is not a valid byte range, which the standard
    /// requires to ignore.
    pub fn parse(header: &str) -> Option<ByteRange> {
        let (first, last) = header.trim().strip_prefix("bytes=")?.split_once('-')?;
        let first = first.trim();
        let last = last.trim();
        if first.is_empty() {
            return digits(last).map(ByteRange::Last);
        }
        let first = digits(first)?;
        if last.is_empty() {
            return Some(ByteRange::From(first, None));
        }
        let last = digits(last)?;
        (first <= last).then_some(ByteRange::From(first, Some(last)))
    }

    /// The bytes of an object of this size that are in the range; `None` where there are none.
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

/// Writes the value of a `Range` header, which [`ByteRange::parse`] reads.
impl fmt::Display for ByteRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ByteRange::From(first, Some(last)) => write!(formatter, "bytes={first}-{last}"),
            ByteRange::From(first, None) => write!(formatter, "bytes={first}-"),
            ByteRange::Last(count) => write!(formatter, "bytes=-{count}"),
        }
    }
}

/// A number of decimal digits alone; `parse` would accept a sign.
fn digits(text: &str) -> Option<u64> {
    let only_digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| only_digits)
}

/// The part of an object that an answer contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ContentRange {
    /// The bytes of the object.
    pub bytes: Range<u64>,
    /// The size of the complete object.
    pub size: u64,
}

impl ContentRange {
    /// Parses `bytes FIRST-LAST/SIZE`; `None` where the header has another form or the range
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
