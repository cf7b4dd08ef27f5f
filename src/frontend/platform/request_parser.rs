//! Parsing of the platform's request headers into a request for the decision module.

use hyper::header::{HeaderMap, COOKIE};
use hyper::Method;
use tulipbridge_core as core;
use tulipbridge_core::{KeyId, Nanos, RequestId, ShardId, VolumeId};

use super::request_tables::{OperationLimits, RequestTables};
use super::{CLASS_HEADER, TRANSACTION_ID_HEADER};

/// Header with the name of a request's plan.
const PLAN_HEADER: &str = "x-plan";
/// Header with the time until the client gives up.
const REMAINING_TIME_HEADER: &str = "x-remaining";
/// Header with the fields that describe the operation, as a list of `name=value`.
const OPERATION_HEADER: &str = "x-io";
/// Start of the cookie with the id of the block.
const BLOCK_COOKIE: &str = "block=";
/// Number of hexadecimal digits of an id.
const ID_DIGITS: usize = 16;
/// Maximum remaining time in nanoseconds, one hour; a longer one is reduced to it.
const MAX_REMAINING_NANOS: f64 = 3.6e12;
/// Nanoseconds per millisecond of a remaining time.
const NANOS_PER_MILLISECOND: f64 = 1e6;
/// Nanoseconds per microsecond of a remaining time.
const NANOS_PER_MICROSECOND: f64 = 1e3;
/// Value of the field `shard` in an operation for which the front may choose the shard.
const ANY_SHARD: i64 = -1;

/// Why a request is rejected with 400. The message is the body of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum RequestError {
    #[error("X-Txn is not of 16 hex digits")]
    InvalidTransactionId,
    #[error("X-Lane is missing")]
    MissingClass,
    #[error("X-Lane names no class")]
    UnknownClass,
    #[error("the method is not that of the class")]
    WrongMethod,
    #[error("X-Plan is missing")]
    MissingPlan,
    #[error("X-Plan names no plan")]
    UnknownPlan,
    #[error("X-Remaining is not a time")]
    InvalidRemaining,
    #[error("X-IO is missing")]
    MissingOperation,
    #[error("X-IO is not a list of fields")]
    MalformedOperation,
    #[error("'shard' names no shard")]
    InvalidShard,
    #[error("'shard' must say where the data lies")]
    MissingShard,
    #[error("'volume' is not of 16 hex digits")]
    InvalidVolume,
    #[error("the cookie 'block' is not of 16 hex digits")]
    InvalidBlock,
    #[error("'units' is no size")]
    InvalidUnits,
    #[error("'hosts' is no number of fronts")]
    InvalidFrontCount,
}

/// A valid request, with the transaction id that the client has given it.
pub(super) struct ParsedRequest {
    pub transaction_id: u64,
    pub request: core::Request,
}

/// The fields of the operation header that the front uses; a field is `None` where it is absent or
/// invalid.
#[derive(Default)]
struct Operation {
    volume: Option<u64>,
    units: Option<i64>,
    /// The number of a shard, or [`ANY_SHARD`].
    shard: Option<i64>,
    front_count: Option<i64>,
}

impl RequestTables {
    /// Parses the method and headers of a request.
    ///
    /// # Errors
    /// Returns the first [`RequestError`] found: a header is missing or invalid, or the method is
    /// not that of the class. The checks have a fixed order.
    pub(super) fn parse(
        &self,
        method: &Method,
        headers: &HeaderMap,
    ) -> Result<ParsedRequest, RequestError> {
        let transaction_id = single_value(headers, TRANSACTION_ID_HEADER)
            .and_then(parse_hex_id)
            .ok_or(RequestError::InvalidTransactionId)?;
        let class = self.parse_class(headers)?;
        let writes = self.writes(class, method);
        let expected_method = if writes { Method::PUT } else { Method::GET };
        if *method != expected_method {
            return Err(RequestError::WrongMethod);
        }
        let plan = self.parse_plan(headers)?;
        let client_timeout = single_value(headers, REMAINING_TIME_HEADER)
            .and_then(parse_remaining_time)
            .ok_or(RequestError::InvalidRemaining)?;
        let operation =
            single_value(headers, OPERATION_HEADER).ok_or(RequestError::MissingOperation)?;
        let operation = Operation::parse(operation, self.operation_limits())?;
        let shard = operation.required_shard(writes)?;
        let request = core::Request {
            id: RequestId(0),
            class,
            plan,
            volume: VolumeId(operation.volume.ok_or(RequestError::InvalidVolume)?),
            key: parse_block_id(headers)?.map(KeyId),
            client_timeout,
            units: operation.units.ok_or(RequestError::InvalidUnits)? as f64,
            shard,
            front_count: operation
                .front_count
                .ok_or(RequestError::InvalidFrontCount)? as u32,
            continues_response: false,
        };
        Ok(ParsedRequest {
            transaction_id,
            request,
        })
    }

    /// Returns the index of the class that the headers name.
    fn parse_class(&self, headers: &HeaderMap) -> Result<usize, RequestError> {
        let name = single_value(headers, CLASS_HEADER).ok_or(RequestError::MissingClass)?;
        self.class_index(name).ok_or(RequestError::UnknownClass)
    }

    /// Returns the index of the plan that the headers name.
    fn parse_plan(&self, headers: &HeaderMap) -> Result<usize, RequestError> {
        let name = single_value(headers, PLAN_HEADER).ok_or(RequestError::MissingPlan)?;
        self.plan_index(name).ok_or(RequestError::UnknownPlan)
    }
}

impl Operation {
    /// Parses `name=value` fields separated by commas. Fields with unknown names are ignored.
    fn parse(header: &str, limits: OperationLimits) -> Result<Operation, RequestError> {
        let last_shard = i64::from(limits.shard_count) - 1;
        let mut operation = Operation::default();
        for field in header.split(',') {
            let (name, value) = field
                .trim()
                .split_once('=')
                .ok_or(RequestError::MalformedOperation)?;
            match name {
                "volume" => operation.volume = parse_hex_id(value),
                "units" => operation.units = integer_between(value, 1, limits.max_units as i64),
                "shard" => operation.shard = integer_between(value, ANY_SHARD, last_shard),
                "hosts" => {
                    operation.front_count = integer_between(value, 1, i64::from(limits.max_fronts));
                }
                _ => {}
            }
        }
        Ok(operation)
    }

    /// Returns the shard that must serve the operation, or `None` where the front may choose it,
    /// which is allowed only for writes.
    fn required_shard(&self, writes: bool) -> Result<Option<ShardId>, RequestError> {
        let shard = self.shard.ok_or(RequestError::InvalidShard)?;
        if shard < 0 && !writes {
            return Err(RequestError::MissingShard);
        }
        Ok(u32::try_from(shard).ok().map(ShardId))
    }
}

/// Returns the value of a header that is present exactly once; a repeated one would be ambiguous.
pub(super) fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().filter(|_| values.next().is_none());
    value.and_then(|value| value.to_str().ok()).map(str::trim)
}

/// Parses an id of exactly [`ID_DIGITS`] hexadecimal digits. `from_str_radix` alone would accept a
/// sign and fewer digits.
fn parse_hex_id(value: &str) -> Option<u64> {
    let is_valid = value.len() == ID_DIGITS && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(value, 16).ok().filter(|_| is_valid)
}

/// Parses an integer from `min` to `max`, both inclusive.
fn integer_between(value: &str, min: i64, max: i64) -> Option<i64> {
    value
        .parse()
        .ok()
        .filter(|number| (min..=max).contains(number))
}

/// Returns the id of the block that the request's cookies name, if any.
fn parse_block_id(headers: &HeaderMap) -> Result<Option<u64>, RequestError> {
    let values = headers
        .get_all(COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok());
    let mut cookies = values.flat_map(|value| value.split(';'));
    let block = cookies.find_map(|cookie| cookie.trim().strip_prefix(BLOCK_COOKIE));
    block
        .map(|digits| parse_hex_id(digits).ok_or(RequestError::InvalidBlock))
        .transpose()
}

/// Parses a non-negative time such as `480m` (milliseconds) or `480000u` (microseconds).
fn parse_remaining_time(value: &str) -> Option<Nanos> {
    let nanos = if let Some(milliseconds) = value.strip_suffix('m') {
        milliseconds.parse::<f64>().ok()? * NANOS_PER_MILLISECOND
    } else {
        let microseconds = value.strip_suffix('u')?;
        microseconds.parse::<f64>().ok()? * NANOS_PER_MICROSECOND
    };
    (nanos.is_finite() && nanos >= 0.0).then_some(nanos.min(MAX_REMAINING_NANOS) as Nanos)
}
