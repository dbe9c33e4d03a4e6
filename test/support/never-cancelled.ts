/** A token for calls that aren't cancelled. */
import {CancellationSource} from '../../src/base/cancellation-source.js';

/** Never fires. */
export const neverCancelled = new CancellationSource().token;
