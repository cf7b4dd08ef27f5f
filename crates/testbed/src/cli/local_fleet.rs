//! The command `local-fleet`: a testbed that runs until it is interrupted.

use std::path::Path;
use std::time::Duration;

use super::arguments::LocalFleetArguments;
use super::error::CliError;
use super::Outcome;
use crate::parallel::block_on_local;
use crate::testbed::{Sharing, Testbed, TestbedConfig, TestbedError, VOLUME_BURST, VOLUME_RATE};

/// The seed of the load.
const SEED: u64 = 1;
/// How often the served fraction is printed.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the command.
pub fn run(arguments: &LocalFleetArguments) -> Result<Outcome, CliError> {
    block_on_local(run_until_interrupted(arguments))??;
    Ok(Outcome::Valid)
}

/// Starts the testbed and reports what it serves until the user interrupts it.
async fn run_until_interrupted(arguments: &LocalFleetArguments) -> Result<(), TestbedError> {
    let fronts = arguments.fronts.max(1);
    let config = TestbedConfig::new(fronts, Sharing::Peers, SEED);
    let testbed = Testbed::start_all(&arguments.program, config).await?;
    println!("{fronts} fronts share a limit of {VOLUME_RATE} units a second and a store of {VOLUME_BURST}");
    print_addresses(&testbed, fronts, &arguments.program);
    testbed.set_load(0, arguments.load);
    println!(
        "{} reads a second come to object-0; interrupt to end them all",
        arguments.load
    );
    let mut last_report = testbed.elapsed();
    loop {
        tokio::select! {
            _ = tokio::signal::ctrl_c() => return Ok(()),
            () = tokio::time::sleep(REPORT_INTERVAL) => {
                let served = testbed.served_fraction(last_report, testbed.elapsed());
                println!("served of the limit in the last 5 s: {served:.2}");
                last_report = testbed.elapsed();
            }
        }
    }
}

/// Prints where the clients and the console of each front connect.
fn print_addresses(testbed: &Testbed, fronts: usize, program: &Path) {
    for front in 0..fronts {
        let addresses = testbed
            .clients_address(front)
            .zip(testbed.console_address(front));
        if let Some((clients, console)) = addresses {
            println!(
                "object-{front}: http://{clients}/b0/object?versionId=0.v    console {console}"
            );
            println!("    {} peers --console {console}", program.display());
        }
    }
}
