//! Tests of single modules of the front through their public items.

mod framing;
mod listener;
mod range;
mod settings_keys;
mod upstream;
