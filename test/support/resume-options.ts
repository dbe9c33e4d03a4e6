/** How an entry that stood still goes on. */

/**
 * `first` is what its event loop comes to first. A pause that isn't counted is that of a suspended machine, whose steady clock
 * stood still as well. `socketOrder` picks the order in which sockets are read.
 */
export type ResumeOptions = {readonly first: 'network' | 'timers'; readonly countsPause: boolean; readonly socketOrder: number};
