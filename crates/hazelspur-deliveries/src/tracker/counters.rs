//! Counters of deliveries, for the server's log.

/// Numbers of deliveries since the start of the process, by event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeliveryCounters {
    /// Received from the broker.
    pub received: u64,
    /// Acknowledged.
    pub acked: u64,
    /// Rejected without requeue.
    pub rejected: u64,
    /// Rejected with requeue.
    pub requeued: u64,
    /// Copied to the retry queue.
    pub retried: u64,
    /// Expired before their run.
    pub expired: u64,
    /// Duplicates settled with the outcome that their message had before.
    pub duplicates: u64,
    /// Settled as possible duplicates without having run here.
    pub possible_duplicates: u64,
    /// Ended when their channel was lost, before their settlement or, if acknowledged first, before their
    /// run.
    pub left_to_broker: u64,
    /// Acknowledged, never run and without a reply: the channel was lost before the fence was answered and no
    /// redelivery has come, or the deadline passed after the ack and the message was not published again to
    /// its queue.
    pub acked_without_run: u64,
    /// Replies that the broker did not accept or could not route, or that were dropped since too many waited.
    pub replies_lost: u64,
}
