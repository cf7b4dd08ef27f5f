//! Declarations of fronts in a file.

use std::path::PathBuf;
use std::time::Duration;

use simd_json::prelude::*;
use tokio::sync::mpsc::Sender;
use tokio::time::sleep;

use crate::config::json::{self, JsonError, Kind};
use crate::control::agent::declaration::Declarations;
use crate::telemetry::log::log;

/// How often the file is read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Sends the declarations of a file, at first and after each change, until the receiver is gone. A
/// file that cannot be used is logged and changes nothing.
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
                    Err(error) => log!("declarations: {}: {error}", path.display()),
                }
                last_content = Some(content);
            }
            Ok(_) => {}
            Err(error) => log!("declarations: cannot read {}: {error}", path.display()),
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn read(json: &[u8]) -> Result<Declarations, JsonError> {
    let value = json::parse(json)?;
    let fronts = value.get("fronts").and_then(|fronts| fronts.as_object());
    let fronts = fronts.ok_or_else(|| JsonError::wrong_kind("fronts", Kind::Object))?;
    Ok(fronts
        .iter()
        .map(|(name, front)| (name.clone(), front.encode().into_bytes()))
        .collect())
}
