/** Branded type of a stream offset. */
import type {Brand} from './brand.js';

/** Zero-based position of a record in a stream of the platform's log. */
export type StreamOffset = Brand<number, 'StreamOffset'>;
