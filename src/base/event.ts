/** The subscribing side of an event. */
import type {Disposable} from './disposable.js';

/** Calls the listener on every firing until the returned registration is disposed of. */
export type Event<Payload> = (listener: (payload: Payload) => void) => Disposable;
