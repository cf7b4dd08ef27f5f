//! The pages for readers of the code name files, types, functions, metrics, log lines and tests.
//! Each of them has to exist.

mod invariants_map;
mod named_items;
mod repository;
