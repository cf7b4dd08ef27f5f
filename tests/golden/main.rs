//! Golden output of the program for operators and other programs: error messages, trace events,
//! responses of the console and the maintenance file. Refactoring must not change any of it; a
//! change here is a change for users, and belongs in CHANGELOG.md.

mod command_line;
mod configuration_errors;
mod console;
mod edits;
mod ejection_status;
mod fleet;
mod maintenance_file;
mod masking;
mod program;
mod running;
mod trace_events;
mod traced;
