/** Type of the loss reasons. */
import type {lossReasons} from './loss-reasons.js';

/** A reason why a job was not answered in time. */
export type LossReason = typeof lossReasons[number];
