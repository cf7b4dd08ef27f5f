//! Interception of the C library's `clock_gettime`.

use libc::c_int;

use crate::rules::clock_offset_ms;
use crate::rules_file::Rules;

const NANOS_PER_MILLISECOND: i64 = 1_000_000;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// Replaces `clock_gettime(2)`. Rules affect the wall clock (`CLOCK_REALTIME`) only.
///
/// # Safety
/// As for `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, time: *mut libc::timespec) -> c_int {
    let result = libc::syscall(libc::SYS_clock_gettime, clock, time) as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset_ms = Rules::read().map_or(0, |rules| clock_offset_ms(rules.text()));
        let offset = offset_ms * NANOS_PER_MILLISECOND;
        let nanos = (*time).tv_sec * NANOS_PER_SECOND + (*time).tv_nsec + offset;
        (*time).tv_sec = nanos.div_euclid(NANOS_PER_SECOND);
        (*time).tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
    }
    result
}
