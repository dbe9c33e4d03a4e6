/** Reason why an arbiter refuses tasks of a job. */
import type {PlacementReply} from './placement-reply.js';

type Refused = Extract<PlacementReply, {kind: 'refused'}>;

/** The reason contained in a refusal; none of the refused tasks has run. */
export type JobRefusal = Pick<Refused, 'cause' | 'detail' | 'retryAfterMilliseconds'>;
