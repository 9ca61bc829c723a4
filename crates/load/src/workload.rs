//! Seeded request schedules that imitate the traffic of the two example deployments.

use std::{
    sync::Arc,
    time::Duration, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use settings::Class;

/// Size of a cache block, in bytes of prompt text.
pub const BLOCK_BYTES: usize = 8192;
/// Bytes of prompt text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Bytes that the message role adds to the prompt before the message content.
const ROLE_BYTES: usize = "user\n".len();
/// Tokens of each answer, requested as `max_tokens`.
pub const ANSWER_TOKENS: u64 = 12;
/// Concurrent conversations at one site.
const OPEN_CONVERSATIONS: u64 = 4;

/// One level of a prompt. A prompt is one text per level and a question; prompts with the same
/// texts down to a level share that prefix.
#[derive(Clone, Copy, Debug)]
pub struct Level {
    /// Number of texts to choose from; texts with low indexes are chosen far more often.
    /// `u64::MAX` draws a new text for each request.
    pub texts: u64,
    /// Length of each text, in cache blocks.
    pub blocks: usize,
}

/// The kind of request that a stream sends.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Chat completions of `model` with nested prompts.
    Model {
        /// Name of the model.
        model: &'static str,
        /// Levels of the prompt, outermost first.
        levels: &'static [Level],
    },
    /// `GET` of a path at a plain service.
    Read(&'static str),
    /// `POST` to a path at a plain service, run at most once.
    Write(&'static str),
}

/// Requests of one kind with Poisson arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// Name in reports.
    pub name: &'static str,
    /// Mean arrival rate, in requests per second.
    pub rate: f64,
    /// Class of the stream's route.
    pub class: Class,
    /// Kind of request.
    pub kind: Kind,
}

/// Traffic of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Name on the command line.
    pub name: &'static str,
    /// Workspaces, each with its fraction of the arrivals of each stream.
    pub workspaces: [(&'static str, f64); 5],
    /// Request streams.
    pub streams: [Stream; 4],
}

impl Deployment {
    /// Tokens per second of all streams at their mean rates. A request to a plain service counts
    /// as one token.
    pub fn tokens_per_second(&self) -> f64 {
        let stream_tokens = |stream: &Stream| {
            let Kind::Model { levels, .. } = stream.kind else {
                return stream.rate;
            };
            let blocks: usize = levels.iter().map(|level| level.blocks).sum();
            let prompt = (blocks * BLOCK_BYTES / BYTES_PER_TOKEN) as u64;
            stream.rate * (prompt + ANSWER_TOKENS) as f64
        };
        self.streams.iter().map(stream_tokens).sum()
    }
}

const HELP_LEVELS: [Level; 4] = [
    Level {
        texts: 1,
        blocks: 5,
    },
    Level {
        texts: 3,
        blocks: 3,
    },
    Level {
        texts: 24,
        blocks: 2,
    },
    Level {
        texts: OPEN_CONVERSATIONS,
        blocks: 1,
    },
];

const DIGEST_LEVELS: [Level; 2] = [
    Level {
        texts: 1,
        blocks: 3,
    },
    Level {
        texts: u64::MAX,
        blocks: 4,
    },
];

const CONTRACT_LEVELS: [Level; 4] = [
    Level {
        texts: 1,
        blocks: 10,
    },
    Level {
        texts: 6,
        blocks: 2,
    },
    Level {
        texts: 12,
        blocks: 1,
    },
    Level {
        texts: OPEN_CONVERSATIONS,
        blocks: 1,
    },
];

const SUMMARY_LEVELS: [Level; 2] = [
    Level {
        texts: 1,
        blocks: 10,
    },
    Level {
        texts: u64::MAX,
        blocks: 3,
    },
];

/// Haneul: kiosk status reads, help questions, releases and fault-log digests.
pub const HANEUL: Deployment = Deployment {
    name: "haneul",
    workspaces: [
        ("kiosk-screens", 0.40),
        ("field-technicians", 0.30),
        ("night-desk", 0.12),
        ("partner-north", 0.10),
        ("partner-south", 0.08),
    ],
    streams: [
        Stream {
            name: "status",
            rate: 8.0,
            class: Class::Urgent,
            kind: Kind::Read("/slots"),
        },
        Stream {
            name: "help",
            rate: 26.0,
            class: Class::Urgent,
            kind: Kind::Model {
                model: "help",
                levels: &HELP_LEVELS,
            },
        },
        Stream {
            name: "release",
            rate: 3.0,
            class: Class::Urgent,
            kind: Kind::Write("/rentals"),
        },
        Stream {
            name: "digest",
            rate: 4.0,
            class: Class::MayWait,
            kind: Kind::Model {
                model: "digest",
                levels: &DIGEST_LEVELS,
            },
        },
    ],
};

/// Trinacria: balance reads, questions about whole contracts, charges and summaries.
pub const TRINACRIA: Deployment = Deployment {
    name: "trinacria",
    workspaces: [
        ("palermo", 0.38),
        ("catania", 0.30),
        ("messina", 0.14),
        ("enna", 0.10),
        ("dietitians", 0.08),
    ],
    streams: [
        Stream {
            name: "balance",
            rate: 8.0,
            class: Class::Urgent,
            kind: Kind::Read("/balances"),
        },
        Stream {
            name: "question",
            rate: 24.0,
            class: Class::Urgent,
            kind: Kind::Model {
                model: "help",
                levels: &CONTRACT_LEVELS,
            },
        },
        Stream {
            name: "charge",
            rate: 4.0,
            class: Class::Urgent,
            kind: Kind::Write("/charges"),
        },
        Stream {
            name: "summary",
            rate: 3.0,
            class: Class::MayWait,
            kind: Kind::Model {
                model: "summary",
                levels: &SUMMARY_LEVELS,
            },
        },
    ],
};

/// A scheduled request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Scheduled time since the start of the run.
    pub at: Duration,
    /// Index of the workspace.
    pub workspace: usize,
    /// Index of the stream.
    pub stream: usize,
    /// Index of the text at each level; empty for plain services.
    pub texts: Vec<u64>,
    /// Random number of the request. It gives the idempotency key, the question at the end of
    /// the prompt and the instance that the caller tries first.
    pub nonce: u64,
}

/// Changes of the traffic during the disturbed phase, as times since the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct Shift {
    /// Time at which the hot texts are replaced by new ones.
    pub texts_moved_at: Duration,
    /// Start and end of the surge, in which [`SURGING_WORKSPACE`] sends at [`SURGE_FACTOR`]
    /// times its rate.
    pub surge: (Duration, Duration),
}

/// Index of the workspace whose rate surges.
pub const SURGING_WORKSPACE: usize = 1;
/// Multiplier of the arrival rate of the surging workspace.
const SURGE_FACTOR: f64 = 5.0;

/// Generates the arrivals of a run of the given length, ordered by time. `scale` multiplies all
/// arrival rates.
pub fn schedule(
    deployment: &Deployment,
    seed: u64,
    length: Duration,
    scale: f64,
    shift: Shift,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (stream, config) in deployment.streams.iter().enumerate() {
        for (workspace, (_, fraction)) in deployment.workspaces.iter().enumerate() {
            let rng_index = (stream * deployment.workspaces.len() + workspace) as u64;
            let mut rng = ChaCha8Rng::seed_from_u64(seed ^ rng_index.rotate_left(32));
            let rate = config.rate * fraction * scale;
            let mut at = 0.0;
            loop {
                let now = Duration::from_secs_f64(at);
                let is_surging =
                    workspace == SURGING_WORKSPACE && now >= shift.surge.0 && now < shift.surge.1;
                let rate = if is_surging {
                    rate * SURGE_FACTOR
                } else {
                    rate
                };
                at += -rng.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate;
                let at = Duration::from_secs_f64(at);
                if at >= length {
                    break;
                }
                arrivals.push(Arrival {
                    at,
                    workspace,
                    stream,
                    texts: choose_texts(&config.kind, &mut rng, at, shift.texts_moved_at),
                    nonce: rng.random(),
                });
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn choose_texts(kind: &Kind, rng: &mut ChaCha8Rng, at: Duration, moved_at: Duration) -> Vec<u64> {
    let Kind::Model { levels, .. } = kind else {
        return Vec::new();
    };
    // After the move the indexes start beyond all earlier ones, so that every level is uncached.
    let offset = if at >= moved_at { 1 << 32 } else { 0 };
    let choose = |level: &Level| {
        if level.texts == u64::MAX {
            return rng.random();
        }
        // The cube of a uniform number makes low indexes hot.
        let skewed = rng.random::<f64>().powi(3);
        offset + (skewed * level.texts as f64) as u64
    };
    levels.iter().map(choose).collect()
}

/// Builds the prompt of an arrival. Each level ends at a block boundary of the text that the
/// engine sees, which includes the role.
pub fn prompt(levels: &[Level], arrival: &Arrival) -> String {
    let mut text = String::new();
    let mut path = 0_u64;
    for (level, index) in levels.iter().zip(&arrival.texts) {
        path = mix(path, *index);
        let end = text.len() + level.blocks * BLOCK_BYTES;
        let end = if text.is_empty() {
            end - ROLE_BYTES
        } else {
            end
        };
        let sentence = format!("Paragraph {path:016x} of the manual applies here. ");
        while text.len() < end {
            let length = (end - text.len()).min(sentence.len());
            text.push_str(&sentence[..length]);
        }
    }
    text.push_str(&format!(
        "Question {:016x}: what should I do?",
        arrival.nonce
    ));
    text
}

fn mix(path: u64, index: u64) -> u64 {
    let mixed = (path ^ index).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed.rotate_left(29).wrapping_add(index)
}

/// Returns the deployment with this name.
pub fn deployment(name: &str) -> Option<&'static Deployment> {
    static ALL: [&Deployment; 2] = [&HANEUL, &TRINACRIA];
    ALL.iter()
        .copied()
        .find(|deployment| deployment.name == name)
}

/// A schedule that the drivers of all fleets share.
pub type Schedule = Arc<Vec<Arrival>>;
