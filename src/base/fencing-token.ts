/** Branded type of a fencing token. */
import type {Brand} from './brand.js';

/** Increases with each change of ownership; a target rejects commands with a lower token than the highest one it has seen. */
export type FencingToken = Brand<number, 'FencingToken'>;
