//! Counts the calls to the store by kind, topic and result, since each of them costs.

use std::{sync::Arc, time::Duration};

use crate::{
    port::{
        Append, AppendError, Appended, Newest, NewestRequest, PageBody, PageRequest, ReadError,
        Store, Topic,
    },
    process::Counters,
};

/// A store whose calls are counted.
pub struct CountedStore<S> {
    store: S,
    counters: Arc<Counters>,
}

impl<S> CountedStore<S> {
    /// Returns a store that passes all calls on to `store`.
    pub fn new(store: S, counters: Arc<Counters>) -> Self {
        Self { store, counters }
    }

    fn count(&self, call: &'static str, topic: Topic, is_ok: bool) {
        let topic = match topic {
            Topic::Operator => "operator",
            Topic::Jobs => "jobs",
            Topic::Workers => "workers",
            Topic::Orders(_) => "orders",
        };
        self.counters.store_call(call, topic, is_ok);
    }
}

impl<S: Store> Store for CountedStore<S> {
    async fn append(&self, append: &Append, within: Duration) -> Result<Appended, AppendError> {
        let appended = self.store.append(append, within).await;
        self.count("append", append.partition.topic, appended.is_ok());
        appended
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        let page = self.store.read(req).await;
        self.count("read", req.partition.topic, page.is_ok());
        page
    }

    async fn newest(&self, req: NewestRequest<'_>) -> Result<Newest, ReadError> {
        let newest = self.store.newest(req).await;
        self.count("newest", req.partition.topic, newest.is_ok());
        newest
    }
}
