/** A target and the right to order it. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {TargetRecord} from '../targets/target-record.js';

/** A target that this entry owns, with its fencing token. */
export type OwnedTarget = {readonly target: TargetRecord; readonly fence: FencingToken};
