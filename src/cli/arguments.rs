//! The arguments of the command line. The doc comments of commands and arguments are the program's
//! help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};

/// Runs storage fronts. Without a command: one front of the platform, as BALANCER_CONFIG and its
/// companions tell.
#[derive(Parser)]
#[command(name = "tulipbridge", version)]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Runs an object front.
    Object {
        /// Its configuration, such as deploy/object.json.
        file: PathBuf,
    },
    /// Keeps many fronts as they are declared.
    Agent {
        #[command(flatten)]
        source: DeclarationSource,
        /// Prefix of the keys in etcd; what follows it is a front's name.
        #[arg(long, default_value = "/tulipbridge/fronts/")]
        prefix: String,
        /// Where it answers the commands below.
        #[arg(long, default_value = "127.0.0.1:7900")]
        control: SocketAddr,
    },
    /// Shows the fronts that an agent keeps.
    Status(AgentApiArguments),
    /// Stops a front once it has answered what it has taken, and keeps it stopped.
    Drain {
        /// Its name.
        name: String,
        #[command(flatten)]
        api: AgentApiArguments,
    },
    /// Shows what a front believes of its peers, by what evidence.
    Peers {
        /// The front's console.
        #[arg(long)]
        console: SocketAddr,
        /// As a table or as JSON.
        #[arg(short, long, default_value = "table")]
        output: OutputFormat,
    },
    /// Shows which chunk servers a front holds out with its peers, and which it may come to hold
    /// out.
    #[command(name = "verdicts")]
    Ejections {
        /// The front's console.
        #[arg(long)]
        console: SocketAddr,
        /// As a table or as JSON.
        #[arg(short, long, default_value = "table")]
        output: OutputFormat,
    },
    /// Explains how a chunk server stands: who saw what and when, why it is out, when that lapses,
    /// who tries next.
    Explain {
        /// Its name, as discovery has it.
        server: String,
        /// The front's console.
        #[arg(long)]
        console: SocketAddr,
        /// As text or as JSON.
        #[arg(short, long, default_value = "table")]
        output: OutputFormat,
    },
    /// Starts a drained front again.
    Resume {
        /// Its name.
        name: String,
        #[command(flatten)]
        api: AgentApiArguments,
    },
    /// Restarts fronts, one after another, each once the one before is ready.
    Restart {
        /// Their names; none is all of them.
        names: Vec<String>,
        #[command(flatten)]
        api: AgentApiArguments,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    Table,
    Json,
}

#[derive(Args)]
#[group(required = true, multiple = false)]
pub struct DeclarationSource {
    /// A file that declares them.
    #[arg(long)]
    pub file: Option<PathBuf>,
    /// The address of etcd's JSON gateway.
    #[arg(long)]
    pub etcd: Option<SocketAddr>,
}

#[derive(Args)]
pub struct AgentApiArguments {
    /// The agent's address.
    #[arg(long, default_value = "127.0.0.1:7900")]
    pub agent: SocketAddr,
}
