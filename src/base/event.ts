/** Event subscription. */
import type {Disposable} from './disposable.js';

/** Adds a listener, which is called each time the event fires until the returned registration is disposed of. */
export type Event<Payload> = (listener: (payload: Payload) => void) => Disposable;
