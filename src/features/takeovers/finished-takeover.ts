/** The end of a takeover. */
import type {JobId} from '../../base/job-id.js';

/** `mayHaveRun`: a former submission was running. `unansweredPeers` were asked and not waited for any longer. */
export type FinishedTakeover = {readonly job: JobId; readonly mayHaveRun: boolean; readonly waitedMilliseconds: number; readonly unansweredPeers: number};
