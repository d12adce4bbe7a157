//! Settings of a connection: the login, the values proposed to the broker and the limits enforced on it.

use hazelspur::Duration;

/// User and password for SASL PLAIN.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// User name.
    pub user: String,
    /// Password.
    pub password: String,
}

/// Settings of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionSettings {
    /// Credentials for SASL PLAIN; `None` selects EXTERNAL, where the transport authenticates the client.
    pub credentials: Option<Credentials>,
    /// Name of the virtual host to open.
    pub virtual_host: String,
    /// Connection name, which the broker shows to its operators.
    pub connection_name: String,
    /// Proposed interval of heartbeats, rounded up to whole seconds; zero for no preference. The smaller
    /// non-zero proposal of the two sides applies; there are no heartbeats if both are zero.
    pub heartbeat: Duration,
    /// Proposed maximum frame size in bytes; must be at least 4096. The smaller proposal of the two sides
    /// applies.
    pub max_frame_bytes: u32,
    /// Maximum number of unsettled deliveries on a channel; one more is a protocol error of the broker.
    pub max_unsettled: usize,
    /// Highest channel number that the caller will open. A broker that allows fewer channels is refused.
    pub max_channel: u16,
}
