//! Sizes and settings of a deployment that the harness runs.

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Entry VMs.
    pub entries: u8,
    /// Engines.
    pub engines: u8,
    /// Engines that ignore fencing numbers, the last ones.
    pub open_engines: u8,
    /// Plain services.
    pub services: u8,
    /// Adapter slots of an engine.
    pub slots: u32,
    /// Requests that an engine runs at once.
    pub batch: u32,
    /// Adapters, named `adapter-N`, each with versions 1 and 2.
    pub adapters: u32,
    /// Data centres.
    pub centres: u8,
    /// Weight store's loads a second.
    pub load_rate: f64,
    /// What the placement weighs first.
    pub objective: String,
    /// Decoding step of engines, in microseconds.
    pub step_us: u64,
    /// How gateways place requests.
    pub placement: String,
    /// How dispatchers evict.
    pub eviction: String,
    /// Longest timeout, in milliseconds.
    pub max_timeout: u64,
    /// How long callers keep entry lists, in seconds.
    pub max_age: u64,
    /// Time that a plain service's call takes, in milliseconds.
    pub work_ms: u64,
    /// Time that a crashed engine stays down, in milliseconds.
    pub down_ms: u64,
    /// Level of the logs.
    pub log: String,
    /// Class of an adapter by its number.
    pub class: fn(u32) -> &'static str,
    /// Owner of an adapter by its number.
    pub owner: fn(u32) -> String,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 4,
            open_engines: 2,
            services: 1,
            slots: 4,
            batch: 8,
            adapters: 12,
            centres: 1,
            load_rate: 20.0,
            objective: String::from("load-stalls"),
            step_us: 5_000,
            placement: String::from("cost"),
            eviction: String::from("value"),
            max_timeout: 30_000,
            max_age: 1,
            work_ms: 20,
            down_ms: 500,
            log: String::from("info"),
            class: |_| "standard",
            owner: |n| format!("owner-{}", n % 4),
        }
    }
}
