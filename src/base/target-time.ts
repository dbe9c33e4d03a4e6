/** Branded type of a time on a target's clock. */
import type {Brand} from './brand.js';

/** Milliseconds on the monotonic clock of one incarnation of a target; comparable only within that incarnation. */
export type TargetTime = Brand<number, 'TargetTime'>;
