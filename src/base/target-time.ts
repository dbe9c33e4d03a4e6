/** The branded type of a time on a target's clock. */
import type {Brand} from './brand.js';

/** Milliseconds on the steady clock of one life of a target; comparable only with others of the same life. */
export type TargetTime = Brand<number, 'TargetTime'>;
