//! Tests of single modules of the front through their public items.

mod framing;
mod listener;
mod object_config;
mod range;
mod upstream;
