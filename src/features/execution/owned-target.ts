/** A target as its owner has it. */
import type {FencingToken} from '../../base/fencing-token.js';
import type {TargetRecord} from '../targets/target-record.js';

/** A target that this entry owns, with the token for it. */
export type OwnedTarget = {readonly target: TargetRecord; readonly fence: FencingToken};
