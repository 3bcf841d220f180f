//! Keys of the arenas in which a dispatcher keeps its state.

slotmap::new_key_type! {
    /// A service of the installed document.
    pub struct ServiceKey;
    /// An upstream of the installed document.
    pub struct UpstreamKey;
    /// A team of the installed document.
    pub struct TeamKey;
    /// A job that is open here or whose answer is kept.
    pub struct JobKey;
    /// A sibling entry instance.
    pub struct SiblingKey;
}
