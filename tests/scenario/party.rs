//! The parties of a scenario, as its steps name them.

/// Who takes part in a step.
#[derive(Clone, Copy)]
pub enum Party<'a> {
    /// `front`: the process under test.
    Front,
    /// `log`: whoever reads the log of the front.
    Log,
    /// `console`: an operator at the console of the front.
    Console,
    /// `d`: discovery.
    Discovery,
    /// `crowd`: many connections of clients at once.
    Crowd,
    /// `s0`, `s1` ..: the chunk server with this index.
    Server(usize),
    /// Any other name: a client.
    Client(&'a str),
}

impl Party<'_> {
    /// The party with this name.
    pub fn parse(name: &str) -> Party<'_> {
        match name {
            "front" => Party::Front,
            "log" => Party::Log,
            "console" => Party::Console,
            "d" => Party::Discovery,
            "crowd" => Party::Crowd,
            _ => server_index(name).map_or(Party::Client(name), Party::Server),
        }
    }
}

/// The index of a server named `s0`, `s1` ..
pub fn server_index(name: &str) -> Option<usize> {
    name.strip_prefix('s')?.parse().ok()
}
