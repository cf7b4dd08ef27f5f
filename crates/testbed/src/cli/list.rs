//! The command `list`.

use super::Outcome;

/// One line for each experiment and simulation, as earlier versions printed them.
const LINES: [&str; 11] = [
    "cases     (run) loads on four and eight processes, before and with peers",
    "hard      (run) cuts, splits, stops, kills, second processes, strangers, many volumes",
    "others    (run) further attempts, units to a starting server, requests out at one server",
    "sick      (run) a chunk server that is bad, at fronts that share verdicts and fronts that do not",
    "verdicts  (run) schedules of faults with servers that fall ill: who is held out, and who should not be",
    "faults    (run) schedules of faults against processes of the program",
    "soak      (run) platform fronts under two or three troubles that overlap, judged by all rules",
    "calm      (run) the same without troubles, which must find nothing",
    "entries   (simulate) what fronts tell each other: newest, the same everywhere after a cut",
    "verdicts  (simulate) which servers all fronts hold out, with bad servers, bad fronts and bad links",
    "limits    (simulate) rights of many fronts in limits that hold for the whole fleet",
];

/// Prints the list.
pub fn print() -> Outcome {
    for line in LINES {
        println!("{line}");
    }
    Outcome::Valid
}
