//! Follows the declarations of fronts in a file.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;
use simd_json::prelude::*;
use simd_json::OwnedValue as Value;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::control::agent::declaration::Declarations;
use crate::control::json_object::{self, JsonObjectError};
use crate::telemetry::log::log;

/// How often the file is read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// The content of a file of declarations.
#[derive(Deserialize)]
struct DeclarationFile {
    /// The declarations, keyed by the names of their fronts. Each is decoded separately, so that an
    /// invalid one does not affect the others.
    fronts: BTreeMap<String, Value>,
}

/// Sends the declarations of a file, at first and after each change, until the receiver is closed.
/// Logs a file that cannot be read or decoded, and keeps the previous declarations.
pub async fn follow(path: PathBuf, sender: Sender<Declarations>) {
    let mut last_content = None;
    loop {
        match std::fs::read(&path) {
            Ok(content) if last_content.as_ref() != Some(&content) => {
                match read(&content) {
                    Ok(declarations) => {
                        if sender.send(declarations).await.is_err() {
                            return;
                        }
                    }
                    Err(error) => log!("agent: {}: invalid declarations: {error}", path.display()),
                }
                last_content = Some(content);
            }
            Ok(_) => {}
            Err(error) => log!(
                "agent: {}: cannot read the declarations: {error}",
                path.display()
            ),
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Decodes the declarations in the content of a file.
fn read(content: &[u8]) -> Result<Declarations, JsonObjectError> {
    // The parser decodes strings in place, so it needs a copy to write to.
    let file: DeclarationFile = json_object::parse(&mut content.to_vec())?;
    let declarations = file
        .fronts
        .into_iter()
        .map(|(name, front)| (name, front.encode().into_bytes()))
        .collect();
    Ok(declarations)
}
