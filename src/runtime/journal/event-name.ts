/** Names of the events in the catalogue. */
import type {eventCatalogue} from './event-catalogue.js';

/** A key of the event catalogue. */
export type EventName = keyof typeof eventCatalogue;
