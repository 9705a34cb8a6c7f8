use futures_util::stream::{self, StreamExt};

/// The number of gateways that are told at the same time. It bounds the connections and the burst on a narrow link.
const MAX_CONCURRENT_NOTICES: usize = 16;

/// The outcome of a round of notices to other gateways.
#[derive(Debug, Default)]
pub(super) struct NoticeDelivery {
    /// The number of notices.
    pub sent: usize,
    /// The number of those that were not confirmed.
    pub undelivered: usize,
    /// The reason why the first of these was not.
    pub first_error: Option<Box<str>>,
}

impl NoticeDelivery {
    /// Makes the calls, a limited number at a time, so that gateways that do not answer delay the others little.
    pub(super) async fn run<F, R>(
        calls: impl Iterator<Item = F>,
        mut on_reply: impl FnMut(R),
    ) -> Self
    where
        F: Future<Output = Result<R, Box<str>>>,
    {
        let mut delivery = Self::default();
        let mut replies = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_NOTICES);
        while let Some(reply) = replies.next().await {
            delivery.sent += 1;
            match reply {
                Ok(reply) => on_reply(reply),
                Err(error) => {
                    delivery.undelivered += 1;
                    delivery.first_error.get_or_insert(error);
                }
            }
        }
        delivery
    }
}
