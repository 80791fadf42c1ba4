//! Release of engine memory of programs that have ended.

use crate::{
    name::Program,
    upstream::{
        sweep,
        Engine,
        Service, //
    },
};

use super::Inner;

impl<E: Engine + 'static, S: Service + 'static> Inner<E, S> {
    /// Releases what engines hold for a program; what fails here is found by the sweep.
    pub(super) async fn release(&self, program: &Program) {
        let addresses = self.placed.borrow_mut().remove(program).unwrap_or_default();
        let key = sweep::key(program);
        for address in addresses {
            let Ok(slots) = self.engine.slots(&address).await else {
                continue;
            };
            for slot in slots.iter().filter(|slot| slot.cache_key == key) {
                if let Err(error) = self.engine.release(&address, slot).await {
                    log::warn!("executor: engine {address} keeps memory of {program}: {error}");
                }
            }
        }
    }
}
