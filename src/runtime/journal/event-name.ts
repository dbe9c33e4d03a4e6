/** Names of the events in the catalogue. */
import type {eventCatalogue} from './event-catalogue.js';

/** Any event that the daemon can log. */
export type EventName = keyof typeof eventCatalogue;
