use std::rc::Rc;

use crate::mesh_shared::MeshShared;

/// Tells when the membership view has changed.
#[derive(Debug)]
pub struct ChangeListener {
    shared: Rc<MeshShared>,
    seen: u64,
}

impl ChangeListener {
    pub(crate) fn new(shared: Rc<MeshShared>) -> Self {
        Self { shared, seen: 0 }
    }

    /// Waits until the view has another generation than when this was last called, and returns it. Several
    /// changes may be told as one.
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
            // An error means that the mesh is gone; the state that it left is still there.
            if waiting.await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
