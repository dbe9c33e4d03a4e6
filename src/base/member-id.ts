/** Branded type of a member id. */
import type {Brand} from './brand.js';

/** Identifier of one incarnation of an entry: `instance#incarnation`. An entry gets a new one after a long pause. */
export type MemberId = Brand<string, 'MemberId'>;
