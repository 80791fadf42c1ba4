//! Release of engine cache of programs that have ended.

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
    /// Releases the cache that engines hold for a program; the sweep finds what fails here.
    pub(super) async fn release(&self, program: &Program) {
        let addresses = self
            .cached_on
            .borrow_mut()
            .remove(program)
            .unwrap_or_default();
        let key = sweep::key(program);
        for address in addresses {
            let Ok(slots) = self.engine.slots(&address).await else {
                continue;
            };
            for slot in slots.iter().filter(|slot| slot.cache_key == key) {
                if let Err(error) = self.engine.release(&address, slot).await {
                    log::warn!(
                        "executor: can't release cache of {program} on engine {address}, \
                         left to the sweep: {error}"
                    );
                }
            }
        }
    }
}
