/** The branded type of a stream offset. */
import type {Brand} from './brand.js';

/** Position of a record in a stream of the platform's log, from 0. */
export type StreamOffset = Brand<number, 'StreamOffset'>;
