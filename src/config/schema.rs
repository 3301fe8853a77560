//! Schema of the settings files: the type, bounds and description of every field.

use strum::VariantNames;

use super::{LogFormat, LogLevel, Role};

/// A field of a group.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Name in the file.
    pub name: &'static str,
    /// Whether the file must contain the field; otherwise the example settings give the default.
    pub required: bool,
    /// Type and bounds of the value.
    pub kind: Kind,
    /// Description for the reference and for errors.
    pub help: &'static str,
}

/// Type and bounds of a field's value.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// Text of a minimum length.
    Text {
        /// Minimum length in characters, without surrounding whitespace.
        min_chars: usize,
    },
    /// `IP:PORT`.
    Address {
        /// Whether the IP must be a loopback address.
        loopback: bool,
    },
    /// `true` or `false`.
    Flag,
    /// A whole number.
    Number {
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
    },
    /// A number, with or without a fraction.
    Decimal {
        /// Minimum, inclusive.
        min: f64,
        /// Maximum, inclusive.
        max: f64,
    },
    /// One of the listed names.
    Choice(&'static [&'static str]),
    /// An object with these fields.
    Group(&'static [Field]),
    /// An array of values of one kind.
    List(&'static Kind),
}

const HOUR_MS: u64 = 3_600_000;
const MEBIBYTE: u64 = 1024 * 1024;
/// Upper bound of settings for the size of a body, in bytes.
const MAX_BODY_BYTES: u64 = 64 * MEBIBYTE;
/// Upper bound of settings for the number of entries in a table.
const MAX_TABLE_ENTRIES: u64 = 10_000_000;
/// Upper bound of settings for the number of connections.
const MAX_CONNECTIONS: u64 = 100_000;
/// Lower bound of settings for the size of a head, in bytes. The HTTP library requires a buffer
/// of at least this size.
const MIN_HEADER_BYTES: u64 = 8 * 1024;
/// Lower bound of the head timeout for connections from other daemons, in milliseconds. It is
/// longer than a daemon keeps an idle connection, so that the listener does not close first.
const MIN_HOP_HEADER_TIMEOUT_MS: u64 = 5_000;

const TEXT: Kind = Kind::Text { min_chars: 1 };
const ADDRESS: Kind = Kind::Address { loopback: false };
const LOOPBACK: Kind = Kind::Address { loopback: true };
const TIME_MS: Kind = Kind::Number {
    min: 1,
    max: HOUR_MS,
};
const ENTRIES: Kind = Kind::Number {
    min: 1,
    max: MAX_TABLE_ENTRIES,
};
const CONNECTIONS: Kind = Kind::Number {
    min: 1,
    max: MAX_CONNECTIONS,
};
const BODY_BYTES: Kind = Kind::Number {
    min: 1,
    max: MAX_BODY_BYTES,
};
const HEADER_BYTES: Kind = Kind::Number {
    min: MIN_HEADER_BYTES,
    max: MEBIBYTE,
};

const fn required(name: &'static str, kind: Kind, help: &'static str) -> Field {
    Field {
        name,
        required: true,
        kind,
        help,
    }
}

const fn optional(name: &'static str, kind: Kind, help: &'static str) -> Field {
    Field {
        name,
        required: false,
        kind,
        help,
    }
}

const PLACE: &[Field] = &[
    required("region", TEXT, "The region."),
    required("zone", TEXT, "The availability zone inside the region."),
];

const LOGGING: &[Field] = &[
    optional(
        "level",
        Kind::Choice(LogLevel::VARIANTS),
        "The least severe level that is written to standard error.",
    ),
    optional(
        "format",
        Kind::Choice(LogFormat::VARIANTS),
        "One JSON object a line, or text.",
    ),
];

const HEADER_BYTES_FIELD: Field = optional(
    "header_bytes",
    HEADER_BYTES,
    "Largest head of a request in bytes; a larger one gets status 431.",
);
const BODY_BYTES_FIELD: Field = optional(
    "body_bytes",
    BODY_BYTES,
    "Largest body of a request in bytes; a larger one gets status 413.",
);
const CONNECTIONS_FIELD: Field = optional(
    "connections",
    CONNECTIONS,
    "Most connections at once; a further one gets status 503 and is closed.",
);
const BODY_TIMEOUT_FIELD: Field = optional(
    "body_timeout_ms",
    TIME_MS,
    "Longest time for a body to arrive; a slower one gets status 408.",
);
const HEADER_TIMEOUT_HELP: &str = "Longest time for a head to arrive; a slower one gets status 408, an unused connection is closed.";

const LISTENER: &[Field] = &[
    HEADER_BYTES_FIELD,
    BODY_BYTES_FIELD,
    CONNECTIONS_FIELD,
    optional("header_timeout_ms", TIME_MS, HEADER_TIMEOUT_HELP),
    BODY_TIMEOUT_FIELD,
];

const HOP_LISTENER: &[Field] = &[
    HEADER_BYTES_FIELD,
    BODY_BYTES_FIELD,
    CONNECTIONS_FIELD,
    optional(
        "header_timeout_ms",
        Kind::Number {
            min: MIN_HOP_HEADER_TIMEOUT_MS,
            max: HOUR_MS,
        },
        HEADER_TIMEOUT_HELP,
    ),
    BODY_TIMEOUT_FIELD,
];

const ANSWER: &[Field] = &[
    optional(
        "header_bytes",
        HEADER_BYTES,
        "Largest head of an answer in bytes; a larger one is not an answer.",
    ),
    optional(
        "body_bytes",
        BODY_BYTES,
        "Largest body of an answer in bytes; a larger one is not an answer.",
    ),
];

const BOUNDS: &[Field] = &[
    optional("callers", Kind::Group(LISTENER), "Callers."),
    optional(
        "local",
        Kind::Group(LISTENER),
        "The backend server on this VM, as a client.",
    ),
    optional(
        "hop",
        Kind::Group(HOP_LISTENER),
        "Calls from other daemons.",
    ),
    optional(
        "control",
        Kind::Group(LISTENER),
        "Control messages from other daemons.",
    ),
    optional("admin", Kind::Group(LISTENER), "Operators."),
    optional(
        "backend",
        Kind::Group(ANSWER),
        "Answers of the backend server.",
    ),
    optional("log", Kind::Group(ANSWER), "Answers of the log service."),
];

const TOKEN: &[Field] = &[
    required(
        "token",
        Kind::Text { min_chars: 16 },
        "The secret, sent as `Authorization: Bearer SECRET`.",
    ),
    required("team", TEXT, "The team, as the audit trail names it."),
    required(
        "role",
        Kind::Choice(Role::VARIANTS),
        "`viewer` reads; `team` also changes the rules of its services; `operator` changes everything and drains.",
    ),
    required(
        "services",
        Kind::List(&TEXT),
        "The services of a token with the role `team`; empty for the other roles.",
    ),
];

const ADMIN: &[Field] = &[
    optional(
        "metrics_need_token",
        Kind::Flag,
        "Whether `GET /metrics` needs a token.",
    ),
    required(
        "tokens",
        Kind::List(&Kind::Group(TOKEN)),
        "The tokens. With none, only the health routes and open metrics answer.",
    ),
];

const DRAIN: &[Field] = &[optional(
    "limit_ms",
    TIME_MS,
    "Longest time for requests in flight to finish after SIGTERM.",
)];

/// Fields of a daemon's settings file.
pub const SETTINGS: &[Field] = &[
    required("place", Kind::Group(PLACE), "Where the VM stands."),
    required("callers_address", ADDRESS, "Listener for callers."),
    required(
        "local_address",
        LOOPBACK,
        "Listener for the backend server on this VM.",
    ),
    required(
        "hop_address",
        ADDRESS,
        "Listener for calls from other daemons.",
    ),
    required(
        "control_address",
        ADDRESS,
        "Listener for control messages from other daemons.",
    ),
    required("admin_address", ADDRESS, "Listener for operators."),
    required(
        "backend_address",
        LOOPBACK,
        "The backend server on this VM.",
    ),
    optional(
        "backend_connections",
        CONNECTIONS,
        "Most connections to the backend server.",
    ),
    required("log_address", ADDRESS, "The platform's log service."),
    optional(
        "log_timeout_ms",
        TIME_MS,
        "Longest wait for the log service.",
    ),
    optional(
        "home_open_keys",
        ENTRIES,
        "Most keys open at this home; beyond it non-idempotent work is refused.",
    ),
    optional(
        "home_tickets",
        ENTRIES,
        "Most tickets issued by this home; beyond it no ticket is issued.",
    ),
    optional(
        "executor_records",
        ENTRIES,
        "Most records at this executor; beyond it non-idempotent work is refused.",
    ),
    optional(
        "reply_grace_ms",
        TIME_MS,
        "Longest wait for another daemon's reply beyond the deadline; then its connection counts as silent.",
    ),
    optional(
        "silence_ms",
        TIME_MS,
        "Longest silence of a connection to another daemon, at least 400; then its call is resolved over a new one.",
    ),
    optional(
        "logging",
        Kind::Group(LOGGING),
        "What the daemon writes about itself.",
    ),
    optional(
        "bounds",
        Kind::Group(BOUNDS),
        "Bounds towards each outside party.",
    ),
    required("admin", Kind::Group(ADMIN), "The administration API."),
    optional("drain", Kind::Group(DRAIN), "The graceful shutdown."),
];

/// A duration in [`RELAY_BOUNDS`], in seconds.
const DURATION_S: Kind = Kind::Decimal {
    min: 0.1,
    max: 3_600.0,
};

const RELAY_BOUNDS: &[Field] = &[
    required(
        "drain_s",
        DURATION_S,
        "Time after which a backend server that leaves gets no request any more.",
    ),
    required("grace_s", DURATION_S, "Time between SIGTERM and SIGKILL."),
    required(
        "retry_ratio",
        Kind::Decimal { min: 0.0, max: 1.0 },
        "Repeats of requests for a service, as a share of these requests, by all daemons.",
    ),
    required(
        "retry_window_s",
        DURATION_S,
        "Window in which repeats are counted.",
    ),
    required(
        "retry_slack",
        Kind::Decimal { min: 0.0, max: 1e6 },
        "Repeats that are allowed beyond the share, by all daemons together.",
    ),
    optional(
        "revoke_s",
        DURATION_S,
        "Time without news of the configuration after which `strict_revoke` takes effect; below 3, a connected daemon may refuse requests in vain.",
    ),
    optional(
        "strict_revoke",
        Kind::Flag,
        "Whether requests that need an API key get status 503 while this daemon may not have heard of a revocation.",
    ),
    optional(
        "quota_window_s",
        DURATION_S,
        "Window in which requests of an organisation are counted against its quota.",
    ),
    optional(
        "quota_excess",
        Kind::Decimal { min: 0.0, max: 1.0 },
        "Excess over a quota in one window, as a share of it, by all daemons together.",
    ),
    optional(
        "quota_slack",
        Kind::Decimal { min: 0.0, max: 1e6 },
        "Requests of an organisation in one window that are allowed beyond that, by all daemons together.",
    ),
];

/// Fields of a relay's settings file.
pub const RELAY: &[Field] = &[
    required("vm", TEXT, "Name of the VM in log lines."),
    required("place", Kind::Group(PLACE), "Where the VM stands."),
    required(
        "service",
        TEXT,
        "The service whose backend server stands on this VM.",
    ),
    required(
        "callers_address",
        ADDRESS,
        "Listener for callers on this VM and for the backend server's own calls.",
    ),
    required(
        "hop_address",
        ADDRESS,
        "Where other daemons reach this one.",
    ),
    optional(
        "hop_listen_address",
        ADDRESS,
        "Listener for other daemons, if something stands before it; else it is at `hop_address`.",
    ),
    required(
        "local_address",
        ADDRESS,
        "Listener for the backend server's heartbeats.",
    ),
    required(
        "ready_address",
        ADDRESS,
        "Listener for the question whether this daemon is ready.",
    ),
    required("metrics_address", ADDRESS, "Listener for metrics."),
    required("backend_address", ADDRESS, "The backend server on this VM."),
    required("log_address", ADDRESS, "The platform's log service."),
    optional(
        "logging",
        Kind::Group(LOGGING),
        "What the daemon writes about itself, to standard output.",
    ),
    optional(
        "adaptive_capacity",
        Kind::Flag,
        "Whether to estimate how many requests the backend server serves best even if it does not state how long work takes; if absent, only if it states this.",
    ),
    required(
        "bounds",
        Kind::Group(RELAY_BOUNDS),
        "What all daemons of a deployment have agreed on with its operators.",
    ),
];
