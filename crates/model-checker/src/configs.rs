//! The configurations that are explored.

use tulipbridge_core::{Class, Group, Plan, Semantics, Settings};

use crate::entrance::Entrance;
use crate::explore::{Card, Explored};
use crate::register::Register;
use crate::rights::Rights;
use crate::world::{Ask, Mode, News, Trouble, World, MS};

const READ: usize = 0;
const SUBMIT: usize = 1;
/// All that may go wrong on the network and at nodes.
const ALL: &[Trouble] = &[
    Trouble::Leave,
    Trouble::Refuse,
    Trouble::Break,
    Trouble::Error,
    Trouble::TurnAway,
    Trouble::Spoil,
    Trouble::Close,
    Trouble::Unasked,
    Trouble::Still,
];
/// What befalls a connection that is kept.
const KEPT: &[Trouble] = &[Trouble::Close, Trouble::Unasked, Trouble::Break, Trouble::Leave];
/// What befalls an attempt on its way.
const WAY: &[Trouble] = &[Trouble::Leave, Trouble::Refuse, Trouble::Break, Trouble::TurnAway, Trouble::Still];

fn class(semantics: Semantics) -> Class {
    Class {
        latency_objective: 60 * MS,
        objective_stretch: 0.0,
        deadline: 120 * MS,
        semantics,
        group: Group::All,
        window: 2000 * MS,
        keep_order: false,
        late_value: 0.2,
        priority_weight: 2.0,
        writes: semantics == Semantics::AtMostOnce,
    }
}

/// The settings of every configuration: reads that may be repeated, and submits that may not.
pub fn settings() -> Settings {
    Settings {
        initiators: 1,
        classes: vec![class(Semantics::Idempotent), class(Semantics::AtMostOnce)],
        plans: vec![Plan {
            limit_rate: 0.0,
            limit_burst: 0.0,
            reserve_rate: 50.0,
            nominal: 10.0,
            weight: 1.0,
            price: 1.0,
        }],
        quantum: 2 * MS,
        warmup_units: 16.0,
        mean_units: 2.0,
        max_units: 8.0,
        fair_share_value: 0.4,
        idle_value: 0.05,
        use_period: 0,
        max_attempts: 2,
        hedging: false,
        cancellation: true,
        max_retry_after: 500 * MS,
        polls_discovery: true,
        poll_interval: 10_000 * MS,
        warmup_duration: 10_000 * MS,
        warmup_floor: 0.25,
        tip_multiple: 3.0,
        overload_span: 1000 * MS,
        order_settle_time: 0,
        retry_budget: None,
    }
}

fn ask(class: usize, cell: Option<u32>) -> Ask {
    Ask { class, cell, patience: 120 * MS }
}

fn world(name: &'static str, about: &'static str, mode: Mode, asks: Vec<Ask>) -> World {
    World {
        name,
        about,
        mode,
        settings: settings(),
        asks,
        in_turn: false,
        nodes: 2,
        news: Vec::new(),
        troubles: 2,
        kinds: ALL,
        step: 40 * MS,
        steps: 2,
        connections: 4,
        idle: 80 * MS,
        heals: false,
        quick: true,
    }
}

/// A configuration, of either world. A dozen of them exist, so that their size matters little.
#[allow(clippy::large_enum_variant)]
#[derive(Clone, Debug)]
pub enum Config {
    /// Requests, attempts and nodes.
    Front(World),
    /// Clients' connections.
    Entrance(Entrance),
    /// Limits shared by a few fronts.
    Rights(Rights),
    /// The watch on discovery.
    Register(Register),
}

/// Does the same with a configuration of either world.
#[macro_export]
macro_rules! with_config {
    ($config:expr, $world:ident => $body:expr) => {
        match $config {
            $crate::configs::Config::Front($world) => $body,
            $crate::configs::Config::Entrance($world) => $body,
            $crate::configs::Config::Rights($world) => $body,
            $crate::configs::Config::Register($world) => $body,
        }
    };
}

impl Config {
    /// What commands say of it.
    pub fn card(&self) -> Card {
        with_config!(self, world => world.card())
    }
}

/// All configurations, the smallest first.
pub fn all() -> Vec<Config> {
    let mut all = entrances();
    all.extend(rights().into_iter().map(Config::Rights));
    all.extend(registers().into_iter().map(Config::Register));
    all.extend(fronts().into_iter().map(Config::Front));
    all
}

fn registers() -> Vec<Register> {
    let register =
        |name, about, phase, troubles| Register { name, about, phase, steps: 60, troubles, quick: true };
    vec![
        register("watch-early", "the watch on discovery, a front that calls first, two troubles", 0.0, 2),
        register("watch-late", "the watch on discovery, a front that calls last, two troubles", 1.0, 2),
    ]
}

fn rights() -> Vec<Rights> {
    let rights = |name, about, fronts, rounds, troubles, quick| Rights {
        name,
        about,
        fronts,
        rounds,
        troubles,
        quick,
    };
    vec![
        rights("rights-two", "two fronts and a limit, three troubles", 2, 9, 3, true),
        rights("rights-three", "three fronts and a limit, two troubles", 3, 9, 2, true),
    ]
}

fn entrances() -> Vec<Config> {
    let entrance = |name, about, clients| Entrance {
        name,
        about,
        clients,
        requests: 2,
        places: (2, 1),
        steps: 4,
        leaves: false,
        quick: true,
    };
    vec![
        Config::Entrance(Entrance {
            requests: 1,
            places: (1, 1),
            steps: 2,
            ..entrance("crowd", "three clients at one place, and one more that is turned away", 3)
        }),
        Config::Entrance(Entrance { steps: 3, ..entrance("door", "two clients with two requests each", 2) }),
        Config::Entrance(Entrance {
            requests: 1,
            leaves: true,
            steps: 1,
            ..entrance("leave", "two clients and SIGTERM", 2)
        }),
    ]
}

fn fronts() -> Vec<World> {
    let (read, submit) = (ask(READ, Some(0)), ask(SUBMIT, None));
    let (mut tries, mut once) = (settings(), settings());
    tries.max_attempts = 3;
    once.max_attempts = 1;
    // The smallest first: what a search finds, it finds soonest there.
    vec![
        world("submit", "one submit, two nodes, any decisions", Mode::Any, vec![submit]),
        World {
            troubles: 3,
            ..world("module-submit", "one submit, two nodes, the module", Mode::Module, vec![submit])
        },
        World {
            troubles: 3,
            ..world("module-read", "one read, two nodes, the module", Mode::Module, vec![read])
        },
        World {
            troubles: 1,
            kinds: WAY,
            news: vec![News::Drains(0), News::TakesOver(2, 0), News::Gone(0)],
            ..world(
                "module-drain",
                "a node hands its cell to a cold one while a read is anywhere",
                Mode::Module,
                vec![read],
            )
        },
        World {
            kinds: WAY,
            troubles: 1,
            news: vec![News::Drains(0), News::Gone(0)],
            ..world("drain", "a node drains and goes while a submit is anywhere", Mode::Any, vec![submit])
        },
        world("read", "one read, two nodes, any decisions", Mode::Any, vec![read]),
        World {
            nodes: 1,
            kinds: KEPT,
            in_turn: true,
            settings: once.clone(),
            ..world("reuse", "two reads in a row over kept connections", Mode::Any, vec![read, read])
        },
        World {
            nodes: 1,
            kinds: KEPT,
            troubles: 1,
            in_turn: true,
            settings: once.clone(),
            news: vec![News::Moves(0), News::Gone(0)],
            ..world(
                "move",
                "a node changes its address, and goes, about two reads",
                Mode::Any,
                vec![read, read],
            )
        },
        World {
            nodes: 1,
            kinds: WAY,
            troubles: 1,
            connections: 1,
            ..world("cap", "a read and a submit over one connection", Mode::Any, vec![read, submit])
        },
        World {
            troubles: 1,
            settings: once.clone(),
            kinds: WAY,
            quick: false,
            ..world("two", "a read and a submit, two nodes, any decisions", Mode::Any, vec![read, submit])
        },
        World {
            troubles: 4,
            settings: tries.clone(),
            quick: false,
            ..world("submit-deep", "one submit, three attempts, four troubles", Mode::Any, vec![submit])
        },
        World {
            troubles: 2,
            settings: tries,
            quick: false,
            ..world(
                "module-two",
                "a read and a submit, three attempts, the module",
                Mode::Module,
                vec![read, submit],
            )
        },
    ]
}

/// One that is too large to be explored, for random walks: it is no part of [`all`].
pub fn large() -> World {
    let asks = (0..300).map(|i| ask(i % 3 / 2, (i % 2 == 0).then_some(i as u32 % 14))).collect();
    let mut set = settings();
    set.max_attempts = 3;
    World {
        settings: set,
        nodes: 14,
        news: vec![
            News::Drains(3),
            News::Lost,
            News::TakesOver(14, 3),
            News::Gone(3),
            News::Moves(5),
            News::Drains(7),
            News::TakesOver(15, 7),
            News::Gone(7),
        ],
        troubles: 100,
        steps: 250,
        connections: 12,
        quick: false,
        ..world("large", "300 requests, fourteen nodes, the module; for walks", Mode::Module, asks)
    }
}

/// Those that are known not to hold, with the reason in the roadmap: they are no part of [`all`], so that a search of
/// all says whether anything else has broken.
pub fn open() -> Vec<World> {
    let (read, submit) = (ask(READ, Some(0)), ask(SUBMIT, None));
    vec![
        World {
            troubles: 1,
            heals: true,
            ..world("heal-submit", "one submit, two nodes, and then usual reads", Mode::Module, vec![submit])
        },
        World {
            troubles: 1,
            heals: true,
            ..world("heal-read", "one read, two nodes, and then usual reads", Mode::Module, vec![read])
        },
    ]
}

/// The configuration of that name.
pub fn named(name: &str) -> Option<Config> {
    all()
        .into_iter()
        .chain(open().into_iter().chain([large()]).map(Config::Front))
        .find(|c| c.card().name == name)
}
