/** Branded type of a profile revision. */
import type {Brand} from './brand.js';

/** Stream offset of the record that defines the current state of a profile; changes are based on it. */
export type Revision = Brand<number, 'Revision'>;
