/** What a target says to a stop. */
import type {OrderFailure} from './order-failure.js';

/** `accepted`: the run ends shortly; its room is free once its end is listed. */
export type StopReply = {readonly kind: 'accepted'} | OrderFailure;
