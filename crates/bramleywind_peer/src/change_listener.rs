use std::rc::Rc;

use crate::mesh_shared::MeshShared;

/// Notifies of changes of the membership view.
#[derive(Debug)]
pub struct ChangeListener {
    shared: Rc<MeshShared>,
    seen: u64,
}

impl ChangeListener {
    pub(crate) fn new(shared: Rc<MeshShared>) -> Self {
        Self { shared, seen: 0 }
    }

    /// Waits until the generation of the view differs from the one that the last call returned, and returns the
    /// new one. Several changes may be reported as one.
    pub async fn changed(&mut self) -> u64 {
        loop {
            let waiting = {
                let mut state = self.shared.state.borrow_mut();
                if state.membership.generation != self.seen {
                    self.seen = state.membership.generation;
                    return self.seen;
                }
                state.membership.wait_for_change()
            };
            // An error means that the mesh was dropped. The last state can still be read, but no longer
            // changes.
            if waiting.await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
