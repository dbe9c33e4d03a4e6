/** The branded type of a revision. */
import type {Brand} from './brand.js';

/** Offset of the record that made a profile what it is; the base for a revision. */
export type Revision = Brand<number, 'Revision'>;
