//! Counts the calls to the store by kind, topic and result, since each of them costs, and the bytes
//! that reads return or discard.

use std::{sync::Arc, time::Duration};

use crate::{
    port::{
        Append, AppendError, Appended, Newest, NewestRequest, PageBody, PageRequest, ReadError,
        Store, Topic,
    },
    process::{
        Counters,
        on_store::read_counts::{ReadCounts, topic_name}, //
    },
};

/// A store whose calls are counted.
pub struct CountedStore<S> {
    store: S,
    counters: Arc<Counters>,
    reads: ReadCounts,
}

impl<S> CountedStore<S> {
    /// Returns a store that passes all calls on to `store`.
    pub fn new(store: S, counters: Arc<Counters>) -> Self {
        Self {
            store,
            reads: ReadCounts::new(counters.clone()),
            counters,
        }
    }

    fn count(&self, call: &'static str, topic: Topic, is_ok: bool) {
        self.counters.store_call(call, topic_name(topic), is_ok);
    }
}

impl<S: Store> Store for CountedStore<S> {
    async fn append(&self, append: &Append, within: Duration) -> Result<Appended, AppendError> {
        let appended = self.store.append(append, within).await;
        self.count("append", append.partition.topic, appended.is_ok());
        appended
    }

    async fn read(&self, req: PageRequest) -> Result<PageBody<'_>, ReadError> {
        let topic = req.partition.topic;
        let pending = self.reads.start("read", topic, req.max_bytes);
        let pending = pending.waiting(req.wait);
        let body = self.store.read(req).await;
        self.count("read", topic, body.is_ok());
        match body {
            Ok(body) => Ok(PageBody::new(async move {
                match body.read_all().await {
                    Ok(page) => {
                        pending.answered(&page.records);
                        Ok(page)
                    }
                    Err(error) => {
                        pending.cut();
                        Err(error)
                    }
                }
            })),
            Err(error) => {
                pending.failed(&error, req.within);
                Err(error)
            }
        }
    }

    async fn newest(&self, req: NewestRequest<'_>) -> Result<PageBody<'_, Newest>, ReadError> {
        let topic = req.partition.topic;
        let pending = self.reads.start("newest", topic, 0);
        let body = self.store.newest(req).await;
        self.count("newest", topic, body.is_ok());
        match body {
            Ok(body) => Ok(PageBody::new(async move {
                match body.read_all().await {
                    Ok(newest) => {
                        pending.answered(&newest.records);
                        Ok(newest)
                    }
                    Err(error) => {
                        pending.cut();
                        Err(error)
                    }
                }
            })),
            Err(error) => {
                pending.failed(&error, req.within);
                Err(error)
            }
        }
    }
}
