/** The branded type of a member id. */
import type {Brand} from './brand.js';

/** One life of an entry: `instance#incarnation`. An entry that was paused for too long goes on under a new one. */
export type MemberId = Brand<string, 'MemberId'>;
