//! Keys into the arenas of one dispatcher.

slotmap::new_key_type! {
    /// A service of the installed document.
    pub struct ServiceKey;
    /// An upstream of the installed document.
    pub struct UpstreamKey;
    /// A team of the installed document.
    pub struct TeamKey;
    /// A job that is open at this entry instance.
    pub struct JobKey;
    /// Another entry instance.
    pub struct SiblingKey;
}
