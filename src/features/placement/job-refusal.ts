/** Why an arbiter won't take a wish. */
import type {PlacementReply} from './placement-reply.js';

type Refused = Extract<PlacementReply, {kind: 'refused'}>;

/** The part of a refusal that says why; nothing of the wish has run. */
export type JobRefusal = Pick<Refused, 'cause' | 'detail' | 'retryAfterMilliseconds'>;
