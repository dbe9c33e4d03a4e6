/** The branded type of a fencing token. */
import type {Brand} from './brand.js';

/** Rises with each change of owners; a target that has seen a higher one rejects orders with a lower one. */
export type FencingToken = Brand<number, 'FencingToken'>;
