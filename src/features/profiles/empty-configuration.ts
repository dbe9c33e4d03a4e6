/** The initial configuration. */
import type {StreamOffset} from '../../base/stream-offset.js';
import type {Configuration} from './configuration.js';

/** Offset 0, without profiles. */
export const emptyConfiguration: Configuration = {
	nextOffset: 0 as StreamOffset,
	digest: '',
	profiles: new Map(),
	changes: new Map(),
};
