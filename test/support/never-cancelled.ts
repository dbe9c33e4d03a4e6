/** A cancellation token for tests. */
import {CancellationSource} from '../../src/base/cancellation-source.js';

/** Is never cancelled. */
export const neverCancelled = new CancellationSource().token;
