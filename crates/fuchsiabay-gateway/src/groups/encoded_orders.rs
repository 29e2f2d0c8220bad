//! Orders as they are sent to engines.

use std::sync::Arc;

use fuchsiabay_lockstep::{ExpertLayout, Order};
use parking_lot::Mutex;

use crate::compression::compress;

/// The body of an order.
#[derive(Clone, Debug)]
pub struct EncodedOrder {
    /// The body as engines read it.
    pub bytes: Arc<[u8]>,
    /// The compressed body, which agents accept, too, if it is large.
    pub compressed: Option<Arc<[u8]>>,
}

/// Encodes orders. That of a prepare order holds the whole layout, so it is encoded once for all ranks of a group.
#[derive(Debug, Default)]
pub struct EncodedOrders {
    last_prepare: Mutex<Option<EncodedPrepare>>,
}

#[derive(Debug)]
struct EncodedPrepare {
    layout: Arc<ExpertLayout>,
    version: u64,
    epoch: u64,
    body: EncodedOrder,
}

impl EncodedOrders {
    /// Returns the body of an order for `epoch`, which `encode` creates.
    pub fn get(&self, epoch: u64, order: &Order, encode: impl FnOnce() -> Vec<u8>) -> EncodedOrder {
        let Order::Prepare { version, layout } = order else {
            return EncodedOrder { bytes: encode().into(), compressed: None };
        };
        let mut last = self.last_prepare.lock();
        let is_same = |prepare: &&EncodedPrepare| {
            Arc::ptr_eq(&prepare.layout, layout) && (prepare.version, prepare.epoch) == (*version, epoch)
        };
        if let Some(prepare) = last.as_ref().filter(is_same) {
            return prepare.body.clone();
        }
        let body = EncodedOrder::compressed(encode().into());
        let (layout, version) = (layout.clone(), *version);
        *last = Some(EncodedPrepare { layout, version, epoch, body: body.clone() });
        body
    }
}

impl EncodedOrder {
    fn compressed(bytes: Arc<[u8]>) -> Self {
        let compressed = compress(&bytes).map(Arc::from);
        if let Err(error) = &compressed {
            log::warn!(error:% = error; "engine: cannot compress an order, sending it uncompressed");
        }
        Self { bytes, compressed: compressed.ok() }
    }
}
