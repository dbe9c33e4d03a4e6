/** A target's answer to a stop. */
import type {OrderFailure} from './order-failure.js';

/** `accepted`: the run ends shortly; its capacity is free once its end is reported. */
export type StopReply = {readonly kind: 'accepted'} | OrderFailure;
