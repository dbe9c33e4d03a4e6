/** A record as sent between registrars. */
import type {RegistryMessageOf} from './registry-message-of.js';

/** Contains the remaining time instead of a local timestamp, because monotonic clocks differ between registrars. */
export type RecordCopy = RegistryMessageOf<'copy'>['record'];
