/** The type of the reasons. */
import type {lossReasons} from './loss-reasons.js';

/** One of those that reports list. */
export type LossReason = typeof lossReasons[number];
