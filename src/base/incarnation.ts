/** The branded type of one life of a target. */
import type {Brand} from './brand.js';

/** The Unix time in milliseconds at which a target started. It may start again under its id, and knows nothing of before then. */
export type Incarnation = Brand<number, 'Incarnation'>;
