/** The configuration before the first record. */
import type {StreamOffset} from '../../base/stream-offset.js';
import type {Configuration} from './configuration.js';

/** Offset 0, no profile. */
export const emptyConfiguration: Configuration = {
	nextOffset: 0 as StreamOffset,
	digest: '',
	profiles: new Map(),
	changes: new Map(),
};
