/** How a paused entry resumes. */

/**
 * `first` is what the event loop handles first. `countsPause` is false for a suspended machine, whose monotonic clock stops
 * during the pause. `socketOrder` selects the order in which sockets are read.
 */
export type ResumeOptions = {readonly first: 'network' | 'timers'; readonly countsPause: boolean; readonly socketOrder: number};
